"""The workers of a pool that tasks may be placed on, by free capacity.

Most tasks go to the worker with the largest share of free processors. In a
demand peak nearly every worker is full, and each waiting task would look at
all of them in vain. Here the first worker tells whether any other can have
the room. Pure: no I/O and no clock.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cyclamenscale.jobs.worker import EPSILON, Worker


class Candidate(NamedTuple):
    """A worker that tasks may be placed on in this pass.

    :ivar worker: the worker.
    :ivar on_probation: whether only one short task at a time may run on it,
        to test a worker that is slow or whose runs have failed.
    :ivar fills_to_half: whether, on probation, it may be filled to half.
    """

    worker: Worker
    on_probation: bool
    fills_to_half: bool = False


class Entry(NamedTuple):
    """Position of a candidate; the smallest is placed on first.

    :ivar allocated_share: share of the processors that is allocated.
    :ivar worker: id of the worker.
    """

    allocated_share: float
    worker: str


class Candidates:
    """The candidates of one pool, ordered by their free share.

    Workers that are slow, or whose latest runs have failed, form a group of
    their own that comes after all others.

    :param candidates: the candidates.
    """

    def __init__(self, candidates: Iterable[Candidate] = ()):
        """Order the candidates."""
        self.by_worker: dict[str, Candidate] = {}
        self.entries: dict[str, Entry] = {}
        #: Entries of sound and of suspicious workers, sorted.
        self.sound: list[Entry] = []
        self.suspicious: list[Entry] = []
        #: Most processors of any candidate.
        self.largest_processors = 0.0
        for candidate in candidates:
            worker = candidate.worker
            self.by_worker[worker.id] = candidate
            entry = self.entries[worker.id] = position(worker)
            self.group_of(worker).append(entry)
            self.largest_processors = max(
                self.largest_processors, worker.record.capacity.processors
            )
        self.sound.sort()
        self.suspicious.sort()

    def __iter__(self) -> Iterator[Candidate]:
        """Iterate over all candidates, in no particular order."""
        return iter(self.by_worker.values())

    def __len__(self) -> int:
        """Return the number of candidates."""
        return len(self.by_worker)

    def group_of(self, worker: Worker) -> list[Entry]:
        """Return the entries among which a worker belongs."""
        return self.suspicious if is_suspicious(worker) else self.sound

    def with_room(self, processors: float) -> Iterator[Candidate]:
        """Iterate over the candidates that may have free processors.

        The ones with the largest free share come first; suspicious ones are
        last. The iteration ends where no further candidate has the room.

        :param processors: processors that a task needs.
        """
        for group in (self.sound, self.suspicious):
            for entry in group:
                free_share = 1 - entry.allocated_share
                if free_share * self.largest_processors + EPSILON < processors:
                    break
                yield self.by_worker[entry.worker]

    def update(self, worker: Worker) -> None:
        """Move a candidate to the position that its runs now give it."""
        entry = self.entries.get(worker.id)
        if entry is None:
            return
        for group in (self.sound, self.suspicious):
            index = bisect_left(group, entry)
            if index < len(group) and group[index] == entry:
                del group[index]
        entry = self.entries[worker.id] = position(worker)
        insort(self.group_of(worker), entry)


def relax_probation(candidates: list[Candidate]) -> list[Candidate]:
    """Let workers on probation be filled to half if most of a pool are.

    Failures on most of its workers are more likely the fault of the tasks,
    and a pool that tests each worker with one task would be nearly idle.
    """
    sound = sum(not candidate.on_probation for candidate in candidates)
    if 2 * sound >= len(candidates):
        return candidates
    return [found._replace(fills_to_half=True) for found in candidates]


def position(worker: Worker) -> Entry:
    """Return the position of a worker among the candidates."""
    return Entry(1 - worker.free_share, worker.id)


def is_suspicious(worker: Worker) -> bool:
    """Return whether tasks go to a worker only if no other has the room."""
    return worker.slow or worker.consecutive_failures > 0
