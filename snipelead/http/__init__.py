"""HTTP/1.1 on raw sockets for the call path; parsing by httptools."""
