"""Thin daemons that put the packages together."""
