"""Randomized fault injection against the real programs.

The programs run as separate processes on one machine. Faults are injected
from outside the processes: signals, TCP relays between them and file size
limits. The history that clients, targets and operators observe is checked
against the guarantees of the system while a run lasts.
"""
