"""Benchmarks that measure the policies, the request path and slopes."""
