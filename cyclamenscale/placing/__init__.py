"""Library that places jobs on workers within the quotas of teams."""
