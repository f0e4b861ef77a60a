"""Benchmarks behind the command ``snipelead bench``."""
