"""Decisions about calls: choice of target, limits, retries, ejection."""
