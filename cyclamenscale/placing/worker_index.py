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
SAMPLES = 16
#: Random picks from buckets of which only some workers fit.
EDGE_PICKS = 24
#: Workers that a search looks at when no pick fits; the next search goes
#: on behind them. 512 take about 0.1 ms.
SCAN_LIMIT = 512
#: Up to so many workers are all looked at instead of a sample.
EXACT_LIMIT = 32
#: Level of nothing; below that of the smallest allocation.
EMPTY = -20


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


def bucket_of(amount: Resources) -> tuple[int, int, int]:
    """Return the bucket of an amount: every larger level holds more."""
    return (
        amount.accelerators,
        frexp(amount.processors)[1] if amount.processors > 0 else EMPTY,
        frexp(amount.memory_gb)[1] if amount.memory_gb > 0 else EMPTY,
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
        self.shapes: Counter[Resources] = Counter()
        self.cursor = 0

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
            self.shapes[capacity] += 1
        elif worker.capacity != capacity:
            self.forget_shape(worker.capacity)
            self.shapes[capacity] += 1
            worker.capacity = capacity
        worker.data_centre = data_centre
        worker.rack = rack
        worker.available = available
        self.change(worker, free)

    def remove(self, name: str) -> None:
        """Remove a worker."""
        worker = self.workers.pop(name)
        self.forget_shape(worker.capacity)
        self.leave_bucket(worker)

    def forget_shape(self, capacity: Resources) -> None:
        """Count one worker of a capacity less."""
        self.shapes[capacity] -= 1
        if not self.shapes[capacity]:
            del self.shapes[capacity]

    def change(self, worker: IndexedWorker, free: Resources) -> None:
        """Set what a worker has free."""
        worker.free = free
        bucket = bucket_of(free) if worker.available else None
        if bucket == worker.bucket:
            return
        self.leave_bucket(worker)
        if bucket is not None:
            members = self.buckets.setdefault(bucket, [])
            worker.bucket = bucket
            worker.position = len(members)
            members.append(worker)

    def leave_bucket(self, worker: IndexedWorker) -> None:
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

    def take(self, name: str, amount: Resources) -> None:
        """Set resources of a worker aside."""
        worker = self.workers[name]
        self.change(worker, worker.free.minus(amount))

    def give_back(self, name: str, amount: Resources) -> None:
        """Free resources of a worker."""
        worker = self.workers[name]
        self.change(worker, worker.free.plus(amount))

    def candidates(
        self, need: Resources, avoid: Collection[str] = ()
    ) -> list[IndexedWorker]:
        """Return some workers with enough free, in no order.

        :param need: what must be free.
        :param avoid: names of workers to leave out.
        """
        level = bucket_of(need)
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
        if sum(map(len, sure)) + sum(map(len, edge)) <= EXACT_LIMIT:
            return [
                worker
                for members in (*sure, *edge)
                for worker in members
                if need.fits(worker.free) and worker.name not in avoid
            ]
        found: dict[str, IndexedWorker] = {}
        for _ in range(EDGE_PICKS if edge else 0):
            worker = self.pick(edge)
            if need.fits(worker.free) and worker.name not in avoid:
                found[worker.name] = worker
        # Half of the samples come from the tightest bucket, so that large
        # gaps are kept for large jobs.
        for number in range(SAMPLES if sure else 0):
            worker = self.pick(sure[:1] if number % 2 else sure)
            if worker.name not in avoid:
                found[worker.name] = worker
        if not found:
            return self.scan([*edge, *sure], need, avoid)
        return list(found.values())

    def pick(self, buckets: list[list[IndexedWorker]]) -> IndexedWorker:
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
        left = min(total, SCAN_LIMIT)
        skip = self.cursor % total
        self.cursor += left
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

    def could_hold(self, need: Resources) -> bool:
        """Return whether an idle worker of some shape has enough."""
        return any(need.fits(shape) for shape in self.shapes)

    def largest(self) -> Resources:
        """Return the most that any worker has of each resource."""
        return Resources(
            *(max(part, default=0) for part in zip(*self.shapes, strict=True))
        )
