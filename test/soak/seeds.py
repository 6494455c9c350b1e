"""Seeds that ever failed, with a line on the cause of each."""

#: Cause by seed, for runs with default options.
FAILED_SEEDS: dict[int, str] = {}
