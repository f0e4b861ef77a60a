"""Emulated targets and load for benchmarks, tests and the quick start."""

from snipelead.emulator.target import EmulatedTarget

__all__ = ['EmulatedTarget']
