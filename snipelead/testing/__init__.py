"""Fakes and fault injection for tests, randomized runs and benchmarks."""
