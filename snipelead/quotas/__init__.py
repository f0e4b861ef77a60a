"""Rate limits of customers over all nodes."""
