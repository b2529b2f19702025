"""Benchmarks, run by hand; nothing here is timed in CI."""
