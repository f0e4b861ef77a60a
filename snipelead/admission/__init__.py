"""Admission control and load shedding past the capacity of a service."""
