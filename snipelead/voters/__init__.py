"""Replicated log of the controls that vote (Raft)."""
