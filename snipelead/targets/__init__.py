"""A node's conversation with the target beside it."""
