"""Processes that combine the other packages: controls, nodes and targets."""
