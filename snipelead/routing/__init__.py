"""Routing of requests: routes, traffic splits, load balancing, retries."""
