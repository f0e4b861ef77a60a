"""Stand-in targets and load for benches, tests and the quick start."""

from snipelead.emulator.target import EmulatedTarget

__all__ = ['EmulatedTarget']
