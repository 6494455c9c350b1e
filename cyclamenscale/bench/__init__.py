"""Benchmarks of the policies, the request path and unit costs."""
