"""Rollouts: moving the traffic of a service to another target version."""
