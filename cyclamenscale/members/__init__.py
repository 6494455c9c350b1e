"""The entries of the system: member list, links and messages."""
