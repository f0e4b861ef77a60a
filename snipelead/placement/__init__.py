"""Placement of requests by expected cost and by the work left at targets."""
