"""Benchmarks that are run by hand; CI does not time them."""
