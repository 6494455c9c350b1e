"""Index of workers by free resources.

Workers are kept in buckets by free accelerators and by the binary logarithm
of free processors and memory. The number of buckets depends on the size of
a worker, not on the number of workers, and so does the time of a search.
"""

from collections import Counter
from collections.abc import Collection
from math import frexp
from random import Random

from sortedcontainers import SortedDict

from cyclamenscale.fleet.ports import Resources

#: Candidates that a search returns. Two would balance load; more find a
#: data centre without tasks of the same group among 43.
CANDIDATE_SAMPLES = 16
#: Random picks from buckets of which only some workers fit.
PARTIAL_FIT_SAMPLES = 24
#: Workers that a search looks at when no pick fits; the next search goes
#: on behind them. 512 take about 0.1 ms.
MAX_SCANNED_WORKERS = 512
#: Up to so many workers are all looked at instead of a sample.
MAX_EXHAUSTIVE_SEARCH = 32
#: Level of nothing; below that of the smallest allocation.
EMPTY_LEVEL = -20


class IndexedWorker:
    """A worker in the index; changed only by :class:`WorkerIndex`."""

    __slots__ = (
        "name",
        "data_centre",
        "rack",
        "capacity",
        "free",
        "available",
        "bucket",
        "position",
    )

    def __init__(
        self, name: str, data_centre: str, rack: str, capacity: Resources
    ):
        """Start idle and in no bucket."""
        self.name = name
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.available = False
        self.bucket: tuple[int, int, int] | None = None
        self.position = 0


def bucket_key(amount: Resources) -> tuple[int, int, int]:
    """Return the bucket of an amount: every larger level holds more."""
    return (
        amount.accelerators,
        frexp(amount.processors)[1] if amount.processors > 0 else EMPTY_LEVEL,
        frexp(amount.memory_gb)[1] if amount.memory_gb > 0 else EMPTY_LEVEL,
    )


class WorkerIndex:
    """Workers by what they have free.

    :param random: source of the samples.
    """

    def __init__(self, random: Random):
        """Start without workers."""
        self.random = random
        self.workers: dict[str, IndexedWorker] = {}
        self.buckets: SortedDict = SortedDict()
        #: Number of workers of each capacity.
        self.capacity_counts: Counter[Resources] = Counter()
        self.scan_cursor = 0

    def put(
        self,
        name: str,
        data_centre: str,
        rack: str,
        capacity: Resources,
        free: Resources,
        available: bool,
    ) -> None:
        """Add or change a worker.

        :param free: capacity that no task has been allocated.
        :param available: whether it may get new tasks.
        """
        worker = self.workers.get(name)
        if worker is None:
            worker = IndexedWorker(name, data_centre, rack, capacity)
            self.workers[name] = worker
            self.capacity_counts[capacity] += 1
        elif worker.capacity != capacity:
            self.uncount_capacity(worker.capacity)
            self.capacity_counts[capacity] += 1
            worker.capacity = capacity
        worker.data_centre = data_centre
        worker.rack = rack
        worker.available = available
        self.set_free(worker, free)

    def remove(self, name: str) -> None:
        """Remove a worker."""
        worker = self.workers.pop(name)
        self.uncount_capacity(worker.capacity)
        self.remove_from_bucket(worker)

    def uncount_capacity(self, capacity: Resources) -> None:
        """Count one worker of a capacity less."""
        self.capacity_counts[capacity] -= 1
        if not self.capacity_counts[capacity]:
            del self.capacity_counts[capacity]

    def set_free(self, worker: IndexedWorker, free: Resources) -> None:
        """Set what a worker has free."""
        worker.free = free
        bucket = bucket_key(free) if worker.available else None
        if bucket == worker.bucket:
            return
        self.remove_from_bucket(worker)
        if bucket is not None:
            members = self.buckets.setdefault(bucket, [])
            worker.bucket = bucket
            worker.position = len(members)
            members.append(worker)

    def remove_from_bucket(self, worker: IndexedWorker) -> None:
        """Take a worker out of its bucket in constant time."""
        if worker.bucket is None:
            return
        members = self.buckets[worker.bucket]
        last = members.pop()
        if last is not worker:
            members[worker.position] = last
            last.position = worker.position
        if not members:
            del self.buckets[worker.bucket]
        worker.bucket = None

    def reserve(self, name: str, amount: Resources) -> None:
        """Set resources of a worker aside."""
        worker = self.workers[name]
        self.set_free(worker, worker.free.minus(amount))

    def release(self, name: str, amount: Resources) -> None:
        """Free resources of a worker."""
        worker = self.workers[name]
        self.set_free(worker, worker.free.plus(amount))

    def candidates(
        self, need: Resources, avoid: Collection[str] = ()
    ) -> list[IndexedWorker]:
        """Return some workers with enough free, in no order.

        :param need: what must be free.
        :param avoid: names of workers to leave out.
        """
        level = bucket_key(need)
        sure, edge = [], []
        sure_accelerators = 0
        for key in self.buckets.irange(level):
            if sure and key[0] > sure_accelerators:
                # Workers with more accelerators are kept for jobs that
                # need them.
                break
            if key[1] > level[1] and key[2] > level[2]:
                sure.append(self.buckets[key])
                sure_accelerators = key[0]
            elif key[1] >= level[1] and key[2] >= level[2]:
                edge.append(self.buckets[key])
        if sum(map(len, sure)) + sum(map(len, edge)) <= MAX_EXHAUSTIVE_SEARCH:
            return [
                worker
                for members in (*sure, *edge)
                for worker in members
                if need.fits(worker.free) and worker.name not in avoid
            ]
        found: dict[str, IndexedWorker] = {}
        for _ in range(PARTIAL_FIT_SAMPLES if edge else 0):
            worker = self.pick_worker(edge)
            if need.fits(worker.free) and worker.name not in avoid:
                found[worker.name] = worker
        # Half of the samples come from the tightest bucket, so that large
        # gaps are kept for large jobs.
        for number in range(CANDIDATE_SAMPLES if sure else 0):
            worker = self.pick_worker(sure[:1] if number % 2 else sure)
            if worker.name not in avoid:
                found[worker.name] = worker
        if not found:
            return self.scan([*edge, *sure], need, avoid)
        return list(found.values())

    def pick_worker(self, buckets: list[list[IndexedWorker]]) -> IndexedWorker:
        """Return a random worker of a random bucket."""
        members = buckets[int(self.random.random() * len(buckets))]
        return members[int(self.random.random() * len(members))]

    def scan(
        self,
        buckets: list[list[IndexedWorker]],
        need: Resources,
        avoid: Collection[str],
    ) -> list[IndexedWorker]:
        """Look at a bounded number of workers, from where the last ended."""
        total = sum(map(len, buckets))
        if not total:
            return []
        left = min(total, MAX_SCANNED_WORKERS)
        skip = self.scan_cursor % total
        self.scan_cursor += left
        for members in [*buckets, *buckets]:
            if skip >= len(members):
                skip -= len(members)
                continue
            for worker in members[skip : skip + left]:
                if need.fits(worker.free) and worker.name not in avoid:
                    return [worker]
            left -= len(members) - skip
            skip = 0
            if left <= 0:
                break
        return []

    def has_capacity_for(self, need: Resources) -> bool:
        """Return whether an idle worker of some shape has enough."""
        return any(need.fits(shape) for shape in self.capacity_counts)

    def largest_capacity(self) -> Resources:
        """Return the most that any worker has of each resource."""
        return Resources(
            *(
                max(part, default=0)
                for part in zip(*self.capacity_counts, strict=True)
            )
        )
