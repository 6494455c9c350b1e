"""Placement benchmark: decision time, waste, urgent jobs, quarantine.

Jobs are generated and time is virtual. Only the decision time is measured in
real time, so it alone differs between runs with the same seed.
"""

from random import Random
from time import perf_counter
from typing import NamedTuple

from cyclamenscale.bench.placement_simulation import (
    POOL,
    JobKind,
    SimulatedEntry,
    draw_usage,
    make_kinds,
    make_worker,
)
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.placing.job_records import JobSpec
from cyclamenscale.placing.placement import (
    GroupSpread,
    make_policy,
    spread_group,
)
from cyclamenscale.placing.usage_history import UsageHistory
from cyclamenscale.placing.worker_index import WorkerIndex
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.tables import format_table

#: Pool sizes, in workers, for the decision time; the largest is the whole
#: fleet of 23,000 workers, which has 90 pools.
DECISION_SIZES = (100, 1_000, 10_000, 23_000)
POOLS = 90
POLICIES = ("observed", "first_fit_declared")
DECISIONS = 1000
#: Number of workers that are filled with tasks to measure the waste.
WASTE_WORKERS = 500
SEED_COUNT = 5


class PlacedTask(NamedTuple):
    """A placed task.

    :ivar spec: specification of its job.
    :ivar worker: name of its worker.
    :ivar allocated: resources reserved for it.
    :ivar used: resources it uses.
    """

    spec: JobSpec
    worker: str
    allocated: Resources
    used: Resources


class PlacementRun:
    """Placements on one pool of generated workers.

    :param policy: name of the placement policy.
    :param size: number of workers.
    :param seed: seed of jobs and samples.
    """

    def __init__(self, policy: str, size: int, seed: int):
        """Create the workers and a usage history of each kind of job."""
        self.random = Random(f"{seed}/{size}")
        self.kinds = make_kinds(self.random)
        self.names = sorted(self.kinds)
        self.index = WorkerIndex(Random(seed))
        self.history = UsageHistory(0.9, 10_000)
        self.spread = GroupSpread()
        self.policy = make_policy(
            policy, self.index, self.history, self.spread
        )
        self.tasks: list[PlacedTask] = []
        self.times_s: list[float] = []
        self.job_count = 0
        for each in map(make_worker, range(size)):
            self.index.put(
                each.name,
                each.data_centre,
                each.rack,
                each.capacity,
                each.capacity,
                True,
            )
        for name, kind in self.kinds.items():
            team, _, label = name.partition("/")
            for _ in range(20):
                used = draw_usage(kind, self.random)
                self.history.add(team, label, kind.declared, used)

    def next_job(self) -> tuple[JobSpec, JobKind]:
        """Return the next generated job."""
        self.job_count += 1
        name = self.random.choice(self.names)
        team, _, label = name.partition("/")
        kind = self.kinds[name]
        spec = JobSpec(f"j{self.job_count}", POOL, team, label, kind.declared)
        return spec, kind

    def place(self, timed: bool) -> bool:
        """Place one job.

        :returns: whether a worker was found.
        """
        spec, kind = self.next_job()
        used = draw_usage(kind, self.random)
        start_s = perf_counter()
        found = self.policy.place(spec)
        if timed:
            self.times_s.append(perf_counter() - start_s)
        if found is None:
            return False
        self.index.reserve(found.worker, found.allocated)
        worker = self.index.workers[found.worker]
        self.spread.add(spread_group(spec), worker)
        self.tasks.append(
            PlacedTask(spec, found.worker, found.allocated, used)
        )
        return True

    def end_random_task(self) -> None:
        """End a random task."""
        position = self.random.randrange(len(self.tasks))
        self.tasks[position], self.tasks[-1] = (
            self.tasks[-1],
            self.tasks[position],
        )
        spec, worker, allocated, _ = self.tasks.pop()
        self.index.release(worker, allocated)
        self.spread.add(spread_group(spec), self.index.workers[worker], -1)

    def limit_free_capacity(self) -> None:
        """Limit each worker's free capacity to at most 30% at random.

        For accelerators the limit is 90%.
        """
        for worker in self.index.workers.values():
            share = self.random.random() * 0.3
            free = Resources(
                worker.capacity.processors * share,
                worker.capacity.memory_gb * share,
                int(worker.capacity.accelerators * share * 3),
            )
            self.index.set_free(worker, free)

    def time_decisions(self) -> None:
        """Time placements on a nearly full pool.

        Past a tenth of :data:`DECISIONS` tasks, each placement ends one.
        """
        for _ in range(DECISIONS):
            if len(self.tasks) > DECISIONS // 10:
                self.end_random_task()
            self.place(True)

    def fill(self) -> None:
        """Place tasks until 5 of 100 attempts find no worker."""
        failed = tries = 0
        while failed < 5:
            failed += not self.place(False)
            tries += 1
            if tries % 100 == 0:
                failed = 0

    def measure_waste(self) -> tuple[float, float, float]:
        """Return shares of the pool's processors and workers.

        :returns: share of processors in use, share of processors allocated
            but unused, and share of workers whose tasks use more than their
            capacity.
        """
        total = allocated = used = 0.0
        loads: dict[str, Resources] = {}
        for task in self.tasks:
            allocated += task.allocated.processors
            used += task.used.processors
            before = loads.get(task.worker, Resources())
            loads[task.worker] = before.plus(task.used)
        for worker in self.index.workers.values():
            total += worker.capacity.processors
        over = sum(
            not load.fits(self.index.workers[name].capacity)
            for name, load in loads.items()
        )
        idle = max(0.0, allocated - used)
        return used / total, idle / total, over / len(self.index.workers)


class PlacerTimes(NamedTuple):
    """Results of one run of the placer, in virtual seconds.

    :ivar urgent_s: time from submission to start, of each urgent job.
    :ivar quarantine_s: time from the first failure of each bad worker to its
        quarantine.
    :ivar bad: number of bad workers that were assigned a task.
    :ivar wrong: number of good workers that were quarantined.
    """

    urgent_s: list[float]
    quarantine_s: list[float]
    bad: int
    wrong: int


def run_placer(size: int, seed: int, seconds: int = 90) -> PlacerTimes:
    """Run a pool with a backlog, urgent jobs and bad workers.

    :param size: number of workers.
    :param seed: seed of jobs and samples.
    :param seconds: virtual duration of the run.
    """
    entry = SimulatedEntry(size, seed)
    bad = [f"w{number:05}" for number in range(0, size, 50)]
    submitted_s: dict[str, float] = {}
    for number in range(size * 2):
        entry.submit(f"b{number}", urgency=2)
    for second in range(seconds):
        if second == 20:
            for name in bad:
                entry.workers.failing[name] = entry.clock()
        if second >= 10 and second % 2 == 0:
            for number in range(3):
                job = f"u{second}-{number}"
                # Urgent jobs arrive at any time between two ticks.
                after_s = entry.random.random() * 0.999
                submitted_s[job] = entry.clock() + after_s
                entry.submit(
                    job, urgency=0, declared=Resources(1, 2), team="urgent"
                )
        for number in range(size // 20):
            entry.submit(f"b{second}-{number}", urgency=2)
        entry.tick()
    first_s: dict[str, float] = {}
    urgent_s = {}
    for at_s, task, worker in entry.workers.started:
        job = task.split("/")[1]
        if job in submitted_s:
            urgent_s.setdefault(job, at_s - submitted_s[job])
        if worker in entry.workers.failing:
            since_s = entry.workers.failing[worker]
            if at_s >= since_s:
                first_s.setdefault(worker, at_s + 1.0)
    never = float(seconds)
    found_s = [
        entry.quarantined_s.get(name, never) - first_s.get(name, 0.0)
        for name in bad
        if name in first_s and name in entry.quarantined_s
    ]
    wrong = len(set(entry.quarantined_s) - set(bad))
    waits_s = [urgent_s.get(job, never) for job in submitted_s]
    return PlacerTimes(waits_s, found_s, len(first_s), wrong)


def decision_rows(seeds: list[int], sizes: tuple[int, ...]) -> list[list]:
    """Measure the decision time of all policies, in ms."""
    rows = []
    for size in sizes:
        for policy in POLICIES:
            times_s: list[float] = []
            for seed in seeds:
                one = PlacementRun(policy, size, seed)
                one.limit_free_capacity()
                one.time_decisions()
                times_s += one.times_s
            p50_s, p99_s = quantile(times_s, 0.5), quantile(times_s, 0.99)
            rows.append(
                [size, policy, round(p50_s * 1000, 3), round(p99_s * 1000, 3)]
            )
    return rows


def waste_rows(seeds: list[int], size: int) -> list[list]:
    """Measure the waste by wrong declared resources, in percent."""
    rows = []
    for policy in POLICIES:
        for seed in seeds:
            one = PlacementRun(policy, size, seed)
            one.fill()
            rows.append(
                [
                    policy,
                    seed,
                    len(one.tasks),
                    *(round(share * 100, 1) for share in one.measure_waste()),
                ]
            )
    return rows


def run(
    seed: int = 1,
    sizes: tuple[int, ...] = DECISION_SIZES,
    seeds: int = SEED_COUNT,
    pool_size: int = 23_000 // POOLS,
    waste_size: int = WASTE_WORKERS,
) -> str:
    """Run the benchmark.

    :param seed: first seed; the others are the numbers after it.
    :param sizes: numbers of workers for the decision time.
    :param seeds: number of seeds.
    :param pool_size: number of workers of the placer's pool.
    :param waste_size: number of workers for the waste.
    :returns: the tables.
    """
    numbers = list(range(seed, seed + seeds))
    parts = [
        f"decision time, seeds {numbers[0]} to {numbers[-1]}, {DECISIONS} "
        "decisions each on crowded workers, ms of real time",
        format_table(
            ["workers", "policy", "p50", "p99"], decision_rows(numbers, sizes)
        ),
        f"\nwaste on {waste_size} workers that were filled, percent of all "
        "processors, and of workers that use more than they have",
        format_table(
            ["policy", "seed", "tasks", "used", "set aside, unused", "over"],
            waste_rows(numbers, waste_size),
        ),
    ]
    rows = []
    for number in numbers:
        found = run_placer(pool_size, number)
        rows.append(
            [
                number,
                round(quantile(found.urgent_s, 0.5), 2),
                round(quantile(found.urgent_s, 0.99), 2),
                round(max(found.urgent_s), 2),
                found.bad,
                len(found.quarantine_s),
                round(quantile(found.quarantine_s, 0.5), 2),
                round(max(found.quarantine_s, default=0.0), 2),
                found.wrong,
            ]
        )
    parts += [
        f"\nplacer of a pool of {pool_size} workers, virtual seconds: urgent "
        "work from submission to start, bad workers from their first "
        "failure to quarantine",
        format_table(
            [
                "seed",
                "urgent p50",
                "p99",
                "max",
                "bad workers",
                "quarantined",
                "after p50",
                "max",
                "good ones quarantined",
            ],
            rows,
        ),
    ]
    return "\n".join(parts)
