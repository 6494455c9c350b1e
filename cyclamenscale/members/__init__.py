"""Coordination of entries: member list, peer link and messages."""
