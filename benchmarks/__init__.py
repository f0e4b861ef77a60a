"""Benchmarks that run outside the test suite."""
