"""Communication between a node and its local target."""
