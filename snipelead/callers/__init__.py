"""Service of callers over HTTP/1.1."""
