"""Placement of jobs with quotas on workers, as a library."""
