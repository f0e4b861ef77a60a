"""Call path of a node: HTTP/1.1 requests from callers to targets."""
