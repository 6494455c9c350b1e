"""In-memory index of all jobs and of the leader, fed by a store watch."""

from collections.abc import Callable
from typing import NamedTuple

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.keys import (
    CANCEL,
    ENTRY,
    ENTRY_CAPACITY,
    FLEET,
    JOB,
    LEAD_REQUEST,
    LEADER,
    PROGRESS,
    WAVE,
)
from cyclamenscale.jobs.model import (
    CANCELLED,
    FINAL_STATES,
    QUEUED,
    EntryCapacity,
    EntryRecord,
    FleetRecord,
    JobRecord,
    ProgressRecord,
    Queue,
    WaveRecord,
)
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.codec import decode_record


class IndexedJob:
    """Stored state of one job.

    :ivar record: the job; None while only its progress is known.
    :ivar revision: revision of its acceptance.
    :ivar progress: its stored progress.
    :ivar progress_revision: revision of the stored progress.
    :ivar cancelled: whether its cancellation is stored.
    :ivar final_s: when the job was first seen to have ended, else 0.
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
        """Initialise with neither record nor progress."""
        self.record: JobRecord | None = None
        self.revision = 0
        self.progress = ProgressRecord()
        self.progress_revision = 0
        self.cancelled = False
        self.final_s = 0.0

    @property
    def state(self) -> str:
        """Return the state that is reported to callers."""
        if self.progress.state in FINAL_STATES:
            return self.progress.state
        return CANCELLED if self.cancelled else self.progress.state


class Leader(NamedTuple):
    """The entry that holds the leader key.

    :ivar node: name of the entry.
    :ivar fence: fencing token, the revision of the key.
    :ivar lease: lease that the key is attached to.
    """

    node: str
    fence: int
    lease: int


class JobIndex:
    """Jobs by id, the leader and the entries, as of one revision.

    :ivar revision: all changes up to this revision have been applied.
    :ivar loaded: whether a full read has been applied.
    """

    def __init__(self):
        """Initialise with no jobs and no leader."""
        self.jobs: dict[str, IndexedJob] = {}
        self.leader: Leader | None = None
        #: Revision of the latest change of the leader's key.
        self.leader_revision = 0
        #: Progress of waves by number.
        self.waves: dict[int, WaveRecord] = {}
        self.fleet = FleetRecord()
        #: Revisions of these records; waves by number.
        self.wave_revisions: dict[int, int] = {}
        self.fleet_revision = 0
        #: Locations of the entries by name.
        self.entries: dict[str, EntryRecord] = {}
        #: Capacities of the entries that publish them, by name.
        self.capacities: dict[str, EntryCapacity] = {}
        #: Revisions of the entries' latest requests to lead, by name.
        self.lead_requests: dict[str, int] = {}
        self.revision = 0
        self.loaded = False

    def get_or_create(self, job: str) -> IndexedJob:
        """Return the indexed job, created if there is none."""
        indexed = self.jobs.get(job)
        if indexed is None:
            indexed = self.jobs[job] = IndexedJob()
        return indexed

    def apply(self, item: KeyValue, now_s: float) -> None:
        """Apply the current state of one key of the store.

        :raises FieldError: if its value can't be decoded.
        """
        key = item.key
        deleted = not item.create_revision
        if key == LEADER:
            self.apply_leader(item, deleted)
        elif key.startswith(JOB):
            self.apply_job(key.removeprefix(JOB), item, deleted)
        elif key.startswith(PROGRESS) and not deleted:
            record = decode_record(item.value, ProgressRecord, key)
            job = key.removeprefix(PROGRESS)
            self.update_progress(job, record, item.mod_revision, now_s)
        elif key == FLEET and not deleted:
            self.fleet_revision = item.mod_revision
            self.fleet = decode_record(item.value, FleetRecord, key)
        elif key.startswith(WAVE) and not deleted:
            number = key.removeprefix(WAVE)
            if not number.isdecimal():
                raise FieldError(key, number, "the number of a wave")
            self.wave_revisions[int(number)] = item.mod_revision
            record = decode_record(item.value, WaveRecord, key)
            self.waves[int(number)] = record
        elif key.startswith(ENTRY):
            name = key.removeprefix(ENTRY)
            if deleted:
                self.entries.pop(name, None)
            else:
                record = decode_record(item.value, EntryRecord, key)
                self.entries[name] = record
        elif key.startswith(ENTRY_CAPACITY):
            name = key.removeprefix(ENTRY_CAPACITY)
            if deleted:
                self.capacities.pop(name, None)
            else:
                capacity = decode_record(item.value, EntryCapacity, key)
                self.capacities[name] = capacity
        elif key.startswith(LEAD_REQUEST):
            name = key.removeprefix(LEAD_REQUEST)
            if deleted:
                self.lead_requests.pop(name, None)
            else:
                self.lead_requests[name] = item.mod_revision
        elif key.startswith(CANCEL) and not deleted:
            self.get_or_create(key.removeprefix(CANCEL)).cancelled = True
            self.record_end(key.removeprefix(CANCEL), now_s)

    def apply_leader(self, item: KeyValue, deleted: bool) -> None:
        """Apply the state of the leader's key unless a newer one is known."""
        revision = item.mod_revision
        if revision < self.leader_revision:
            return
        self.leader_revision = revision
        node = item.value.decode(errors="replace")
        self.leader = None if deleted else Leader(node, revision, item.lease)

    def update_progress(
        self, job: str, record: ProgressRecord, revision: int, now_s: float
    ) -> None:
        """Apply stored progress unless newer progress is indexed."""
        indexed = self.get_or_create(job)
        if revision > indexed.progress_revision:
            indexed.progress = record
            indexed.progress_revision = revision
            self.record_end(job, now_s)

    def record_end(self, job: str, now_s: float) -> None:
        """Record when a job was first seen to have ended."""
        indexed = self.get_or_create(job)
        if indexed.state in FINAL_STATES and not indexed.final_s:
            indexed.final_s = now_s

    def apply_job(self, job: str, item: KeyValue, deleted: bool) -> None:
        """Apply a job's record, or its removal."""
        if deleted:
            self.jobs.pop(job, None)
            return
        indexed = self.get_or_create(job)
        if indexed.record is None:
            indexed.record = decode_record(item.value, JobRecord, item.key)
            indexed.revision = item.create_revision

    def replace(
        self, items: list[KeyValue], revision: int, now_s: float
    ) -> list[str]:
        """Apply a full read of the store.

        :param items: all keys of the job subsystem.
        :returns: messages of the keys that can't be decoded.
        """
        if revision >= self.leader_revision:
            self.leader = None
        self.entries = {}
        self.capacities = {}
        self.lead_requests = {}
        kept = {
            item.key.removeprefix(JOB)
            for item in items
            if item.key.startswith(JOB)
        }
        for job, indexed in list(self.jobs.items()):
            # A job accepted by this entry may be newer than the read.
            if job not in kept and indexed.revision <= revision:
                del self.jobs[job]
        errors = []
        for item in items:
            try:
                self.apply(item, now_s)
            except FieldError as error:
                errors.append(str(error))
        self.revision = max(self.revision, revision)
        self.loaded = True
        return errors

    def count_pending(
        self,
        queue: str,
        find_queue: Callable[[Queue, int], Queue] = (
            lambda stored, version: stored
        ),
    ) -> int:
        """Return how many jobs of a queue have not started a task.

        :param queue: name of the queue.
        :param find_queue: returns the current settings of a job's queue,
            given the stored ones and the version of their manifest.
        """
        return sum(
            indexed.record is not None
            and indexed.state == QUEUED
            and find_queue(
                indexed.record.queue, indexed.record.manifest_version
            ).name
            == queue
            for indexed in self.jobs.values()
        )

    def ended_before(self, before_s: float, limit: int) -> list[str]:
        """Return jobs that ended before a time.

        :param limit: maximum number of jobs returned.
        """
        found = []
        for job, indexed in self.jobs.items():
            if indexed.final_s and indexed.final_s < before_s:
                found.append(job)
                if len(found) == limit:
                    break
        return found
