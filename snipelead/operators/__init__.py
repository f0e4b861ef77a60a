"""HTTP API for operators: server and client."""
