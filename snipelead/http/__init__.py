"""HTTP/1.1 over raw sockets for the call path, parsed by httptools."""
