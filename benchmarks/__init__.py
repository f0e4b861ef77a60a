"""Measurements that are not part of the test suite."""
