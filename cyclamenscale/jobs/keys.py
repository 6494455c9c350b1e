"""Keys of the job subsystem in the platform's store."""

PREFIX = "cyclamen/"
LEADER = PREFIX + "leader"
JOB = PREFIX + "job/"
PROGRESS = PREFIX + "progress/"
CANCEL = PREFIX + "cancel/"
WAVE = PREFIX + "wave/"
FLEET = PREFIX + "fleet"
ENTRY = PREFIX + "entry/"
ENTRY_CAPACITY = PREFIX + "entry-capacity/"
LEAD_REQUEST = PREFIX + "lead-request/"


def job_key(job: str) -> str:
    """Return the key of an accepted job."""
    return JOB + job


def progress_key(job: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + job


def cancel_key(job: str) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL + job


def entry_key(name: str) -> str:
    """Return the key of an entry's address."""
    return ENTRY + name


def entry_capacity_key(name: str) -> str:
    """Return the key of an entry's capacity."""
    return ENTRY_CAPACITY + name


def lead_request_key(name: str) -> str:
    """Return the key of an entry's request to lead."""
    return LEAD_REQUEST + name


def wave_key(wave: int) -> str:
    """Return the key of a wave's progress."""
    return f"{WAVE}{wave}"
