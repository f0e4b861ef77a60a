"""State of a node and its conversation with other nodes."""
