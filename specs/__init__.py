"""Models of the core protocol, checked exhaustively within bounds."""
