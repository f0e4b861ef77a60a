"""Interface for operators: HTTP server and client."""
