"""Where and in which order tasks are to start: pure decisions and the placer that applies them."""
