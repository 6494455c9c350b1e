"""Randomized fault soak of the job entries, run as separate processes."""
