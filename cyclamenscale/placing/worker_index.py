"""Index of workers by free resources.

Workers are kept in buckets by free accelerators and by the binary logarithm
of free processors and memory. The number of buckets, and with it the time of
a search, depends on the capacity of the workers and not on their number.
"""

from collections import Counter
from collections.abc import Collection
from math import frexp
from random import Random

from sortedcontainers import SortedDict

from cyclamenscale.fleet.ports import Resources

#: Random picks from buckets of which each worker fits. Two would balance the
#: load; more are needed to find, among 43, a data centre without tasks of the
#: same group.
FULL_FIT_SAMPLES = 16
#: Random picks from buckets of which only some workers may fit.
PARTIAL_FIT_SAMPLES = 24
#: Workers examined by a search when no random pick fits; the next search
#: continues after them. Examining 512 takes about 0.1 ms.
MAX_SCANNED_WORKERS = 512
#: Up to this number of workers, all are examined instead of a sample.
MAX_EXHAUSTIVE_SEARCH = 32
#: Level of an empty amount, below that of the smallest allocation.
EMPTY_LEVEL = -20


class IndexedWorker:
    """A worker in the index; modified only by :class:`WorkerIndex`."""

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
        """Initialise as idle, unavailable and in no bucket."""
        self.name = name
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.available = False
        self.bucket: tuple[int, int, int] | None = None
        self.position = 0


def bucket_key(amount: Resources) -> tuple[int, int, int]:
    """Return the key of the bucket for an amount of resources.

    The key consists of the accelerators and of the levels of processors and
    memory. A higher level always means a larger amount.
    """
    return (
        amount.accelerators,
        frexp(amount.processors)[1] if amount.processors > 0 else EMPTY_LEVEL,
        frexp(amount.memory_gb)[1] if amount.memory_gb > 0 else EMPTY_LEVEL,
    )


class WorkerIndex:
    """Workers by free resources.

    :param rng: random number generator for the samples.
    """

    def __init__(self, rng: Random):
        """Initialise with no workers."""
        self.rng = rng
        self.workers: dict[str, IndexedWorker] = {}
        self.buckets: SortedDict = SortedDict()
        #: Number of workers with each capacity.
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
        """Add or update a worker.

        :param name: name of the worker.
        :param data_centre: data centre of the worker.
        :param rack: rack within the data centre.
        :param capacity: total resources of the worker.
        :param free: resources that are not allocated to tasks.
        :param available: whether the worker may get new tasks.
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
        """Decrement the number of workers with a capacity."""
        self.capacity_counts[capacity] -= 1
        if not self.capacity_counts[capacity]:
            del self.capacity_counts[capacity]

    def set_free(self, worker: IndexedWorker, free: Resources) -> None:
        """Set the free resources of a worker and update its bucket."""
        worker.free = free
        bucket = bucket_key(free) if worker.available else None
        if bucket == worker.bucket:
            return
        self.remove_from_bucket(worker)
        if bucket is not None:
            workers = self.buckets.setdefault(bucket, [])
            worker.bucket = bucket
            worker.position = len(workers)
            workers.append(worker)

    def remove_from_bucket(self, worker: IndexedWorker) -> None:
        """Remove a worker from its bucket in constant time."""
        if worker.bucket is None:
            return
        workers = self.buckets[worker.bucket]
        last = workers.pop()
        if last is not worker:
            workers[worker.position] = last
            last.position = worker.position
        if not workers:
            del self.buckets[worker.bucket]
        worker.bucket = None

    def reserve(self, name: str, amount: Resources) -> None:
        """Subtract an allocation from the free resources of a worker."""
        worker = self.workers[name]
        self.set_free(worker, worker.free.minus(amount))

    def release(self, name: str, amount: Resources) -> None:
        """Add an allocation back to the free resources of a worker."""
        worker = self.workers[name]
        self.set_free(worker, worker.free.plus(amount))

    def candidates(
        self, required: Resources, avoid: Collection[str] = ()
    ) -> list[IndexedWorker]:
        """Return some available workers with enough free, in no order.

        :param required: resources that must be free.
        :param avoid: names of workers to exclude.
        """
        minimum = bucket_key(required)
        # Each worker of a full-fit bucket has enough free; the workers of a
        # partial-fit bucket must be checked.
        full_fit, partial_fit = [], []
        full_fit_accelerators = 0
        for key in self.buckets.irange(minimum):
            if full_fit and key[0] > full_fit_accelerators:
                # Workers with more accelerators are kept for jobs that
                # need them.
                break
            if key[1] > minimum[1] and key[2] > minimum[2]:
                full_fit.append(self.buckets[key])
                full_fit_accelerators = key[0]
            elif key[1] >= minimum[1] and key[2] >= minimum[2]:
                partial_fit.append(self.buckets[key])
        if (
            sum(map(len, full_fit)) + sum(map(len, partial_fit))
            <= MAX_EXHAUSTIVE_SEARCH
        ):
            return [
                worker
                for workers in (*full_fit, *partial_fit)
                for worker in workers
                if required.fits(worker.free) and worker.name not in avoid
            ]
        found: dict[str, IndexedWorker] = {}
        for _ in range(PARTIAL_FIT_SAMPLES if partial_fit else 0):
            worker = self.pick_worker(partial_fit)
            if required.fits(worker.free) and worker.name not in avoid:
                found[worker.name] = worker
        # Half of the samples come from the bucket with the least free, so
        # that large amounts of free resources are kept for large jobs.
        for number in range(FULL_FIT_SAMPLES if full_fit else 0):
            worker = self.pick_worker(full_fit[:1] if number % 2 else full_fit)
            if worker.name not in avoid:
                found[worker.name] = worker
        if not found:
            return self.scan([*partial_fit, *full_fit], required, avoid)
        return list(found.values())

    def pick_worker(self, buckets: list[list[IndexedWorker]]) -> IndexedWorker:
        """Return a random worker of a random bucket."""
        workers = buckets[int(self.rng.random() * len(buckets))]
        return workers[int(self.rng.random() * len(workers))]

    def scan(
        self,
        buckets: list[list[IndexedWorker]],
        required: Resources,
        avoid: Collection[str],
    ) -> list[IndexedWorker]:
        """Search a bounded number of workers for one that fits.

        Each scan continues where the previous one ended.
        """
        total = sum(map(len, buckets))
        if not total:
            return []
        remaining = min(total, MAX_SCANNED_WORKERS)
        skip = self.scan_cursor % total
        self.scan_cursor += remaining
        for workers in [*buckets, *buckets]:
            if skip >= len(workers):
                skip -= len(workers)
                continue
            for worker in workers[skip : skip + remaining]:
                if required.fits(worker.free) and worker.name not in avoid:
                    return [worker]
            remaining -= len(workers) - skip
            skip = 0
            if remaining <= 0:
                break
        return []

    def has_capacity_for(self, required: Resources) -> bool:
        """Return whether some worker has enough resources when idle."""
        return any(
            required.fits(capacity) for capacity in self.capacity_counts
        )

    def largest_capacity(self) -> Resources:
        """Return the maximum of each resource over all workers."""
        return Resources(
            *(
                max(part, default=0)
                for part in zip(*self.capacity_counts, strict=True)
            )
        )
