"""Benchmarks that are run by hand; CI times none of them."""
