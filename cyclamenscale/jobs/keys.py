"""Keys of the job subsystem in the platform's store."""

PREFIX = "cyclamen/"
LEADER = PREFIX + "leader"
JOB = PREFIX + "job/"
PROGRESS = PREFIX + "progress/"
CANCEL = PREFIX + "cancel/"
WAVES = PREFIX + "waves"


def job_key(job: str) -> str:
    """Return the key of an accepted job."""
    return JOB + job


def progress_key(job: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + job


def cancel_key(job: str) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL + job
