"""Set-up of the tests: hypothesis gives the same verdict in every run."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")
