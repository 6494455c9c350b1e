"""What an entry knows of all jobs, from its watch of the store."""

from typing import NamedTuple

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.keys import (
    CANCEL,
    ENTRY,
    FLEET,
    JOB,
    LEADER,
    PROGRESS,
    WAVE,
)
from cyclamenscale.jobs.model import (
    CANCELLED,
    FINAL_STATES,
    QUEUED,
    EntryRecord,
    FleetRecord,
    JobRecord,
    ProgressRecord,
    WaveRecord,
)
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.codec import decode_record


class Posting:
    """One job on the board.

    :ivar record: the job; None while only its progress was seen.
    :ivar revision: revision of its acceptance.
    :ivar progress: its stored progress.
    :ivar progress_revision: revision of that.
    :ivar cancelled: whether its cancellation is stored.
    :ivar final_s: when the board saw that it is over, 0 before.
    """

    __slots__ = (
        "cancelled",
        "final_s",
        "progress",
        "progress_revision",
        "record",
        "revision",
    )

    def __init__(self):
        """Start empty."""
        self.record: JobRecord | None = None
        self.revision = 0
        self.progress = ProgressRecord()
        self.progress_revision = 0
        self.cancelled = False
        self.final_s = 0.0

    @property
    def state(self) -> str:
        """Return the state as callers see it."""
        if self.progress.state in FINAL_STATES:
            return self.progress.state
        return CANCELLED if self.cancelled else self.progress.state


class Leader(NamedTuple):
    """The holder of the leader's key.

    :ivar node: its name.
    :ivar fence: revision of the key.
    :ivar lease: lease that the key hangs on.
    """

    node: str
    fence: int
    lease: int


class Board:
    """Jobs by id, and the leader, as of one revision.

    :ivar revision: every change up to it is on the board.
    :ivar filled: whether the board has been read in full once.
    """

    def __init__(self):
        """Start empty."""
        self.postings: dict[str, Posting] = {}
        self.leader: Leader | None = None
        #: Progress of waves by number.
        self.waves: dict[int, WaveRecord] = {}
        self.fleet = FleetRecord()
        #: Where the entries are, by name.
        self.entries: dict[str, EntryRecord] = {}
        self.revision = 0
        self.filled = False

    def posting(self, job: str) -> Posting:
        """Return the posting of a job, made if there is none."""
        found = self.postings.get(job)
        if found is None:
            found = self.postings[job] = Posting()
        return found

    def apply(self, item: KeyValue, now_s: float) -> None:
        """Take a key of the store over.

        :raises FieldError: if its value can't be read.
        """
        key = item.key
        gone = not item.create_revision
        if key == LEADER:
            self.leader = (
                None
                if gone
                else Leader(item.value.decode(), item.mod_revision, item.lease)
            )
        elif key.startswith(JOB):
            self.apply_job(key.removeprefix(JOB), item, gone)
        elif key.startswith(PROGRESS) and not gone:
            record = decode_record(item.value, ProgressRecord, key)
            job = key.removeprefix(PROGRESS)
            self.note_progress(job, record, item.mod_revision, now_s)
        elif key == FLEET and not gone:
            self.fleet = decode_record(item.value, FleetRecord, key)
        elif key.startswith(WAVE) and not gone:
            number = int(key.removeprefix(WAVE))
            self.waves[number] = decode_record(item.value, WaveRecord, key)
        elif key.startswith(ENTRY):
            name = key.removeprefix(ENTRY)
            if gone:
                self.entries.pop(name, None)
            else:
                record = decode_record(item.value, EntryRecord, key)
                self.entries[name] = record
        elif key.startswith(CANCEL) and not gone:
            self.posting(key.removeprefix(CANCEL)).cancelled = True
            self.note_end(key.removeprefix(CANCEL), now_s)

    def note_progress(
        self, job: str, record: ProgressRecord, revision: int, now_s: float
    ) -> None:
        """Take progress over unless newer one is known."""
        posting = self.posting(job)
        if revision > posting.progress_revision:
            posting.progress = record
            posting.progress_revision = revision
            self.note_end(job, now_s)

    def note_end(self, job: str, now_s: float) -> None:
        """Note when a job was first seen to be over."""
        posting = self.posting(job)
        if posting.state in FINAL_STATES and not posting.final_s:
            posting.final_s = now_s

    def apply_job(self, job: str, item: KeyValue, gone: bool) -> None:
        """Take a job's own record over."""
        if gone:
            self.postings.pop(job, None)
            return
        posting = self.posting(job)
        if posting.record is None:
            posting.record = decode_record(item.value, JobRecord, item.key)
            posting.revision = item.create_revision

    def replace(
        self, items: list[KeyValue], revision: int, now_s: float
    ) -> list[str]:
        """Take a full reading over.

        :param items: all keys of the job subsystem.
        :returns: errors of keys that can't be read.
        """
        self.leader = None
        self.entries = {}
        kept = {
            item.key.removeprefix(JOB)
            for item in items
            if item.key.startswith(JOB)
        }
        for job, posting in list(self.postings.items()):
            # A job accepted by this entry may be newer than the reading.
            if job not in kept and posting.revision <= revision:
                del self.postings[job]
        faults = []
        for item in items:
            try:
                self.apply(item, now_s)
            except FieldError as error:
                faults.append(str(error))
        self.revision = max(self.revision, revision)
        self.filled = True
        return faults

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have no task started yet."""
        return sum(
            posting.record is not None
            and posting.record.queue.name == queue
            and posting.state == QUEUED
            for posting in self.postings.values()
        )

    def over(self, before_s: float, limit: int) -> list[str]:
        """Return jobs that have been over since before a time.

        :param limit: at most so many.
        """
        found = []
        for job, posting in self.postings.items():
            if posting.final_s and posting.final_s < before_s:
                found.append(job)
                if len(found) == limit:
                    break
        return found
