"""The request path: from callers through admission and slots to endpoints."""
