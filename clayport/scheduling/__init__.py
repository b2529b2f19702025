"""Queueing, placement and preemption of tasks: pure decisions and the placer that applies them."""
