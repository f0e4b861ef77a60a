"""Replicated log kept by the voting controls."""
