"""The users' platform: the one package that knows its names and calls."""
