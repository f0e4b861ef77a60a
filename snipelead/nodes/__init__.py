"""State of a node, admission to its targets, and requests between nodes."""
