"""Randomised runs of the real programs under faults.

The programs run as separate processes on this machine. Faults come from
outside of them: signals, relays between the processes, limits on files. What
callers, targets and operators see is checked while a run lasts.
"""
