"""Generated workers and jobs, and a placer that runs in virtual time."""

from random import Random
from typing import NamedTuple

from cyclamenscale.fleet.budget import CONTROL_PREFIX
from cyclamenscale.fleet.ports import PlatformWorker, Resources, TaskOrder
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import INSTANCE_PREFIX, ConfigView, InstanceRecord
from cyclamenscale.placing.job_records import JobSpec
from cyclamenscale.placing.jobs import JobStore
from cyclamenscale.placing.placer import PoolPlacer
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.standin.workers import MemoryWorkers, TaskBehaviour
from cyclamenscale.store.port import Put
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record

#: Fleet that the generated workers and jobs are modelled on: 40,000
#: accelerators on 23,000 workers, 43 data centres, 450 teams.
DATA_CENTRES = 43
TEAMS = 450
POOL = "north"
#: Delay of the platform's worker list and reports.
REPORT_LAG_S = 2.0


def make_worker(number: int) -> PlatformWorker:
    """Return a generated worker, sized as in one of the two deployments.

    Even numbers are workers of szlifrail, odd ones of kamnolom.
    """
    capacity = Resources(64.0, 256.0, 0)
    if number % 2:
        # 3 or 4 accelerators: about 40,000 on 23,000 workers in all.
        capacity = Resources(32.0, 64.0, 3 + number % 4 // 2)
    return PlatformWorker(
        f"w{number:05}",
        f"d{number // 4 % DATA_CENTRES}",
        f"r{number // 4}",
        capacity,
    )


class JobKind(NamedTuple):
    """Jobs of one team and kind.

    :ivar declared: resources that the team declares.
    :ivar factor: mean ratio of used to declared resources.
    """

    declared: Resources
    factor: float


def make_kinds(random: Random) -> dict[str, JobKind]:
    """Return the kinds of jobs by ``TEAM/KIND``.

    Teams declare from a fifth to five times what their jobs use, more often
    too much than too little.
    """
    kinds = {}
    for team in range(TEAMS):
        for kind in range(2):
            declared = Resources(
                random.choice((1.0, 2.0, 4.0, 8.0, 16.0)),
                random.choice((2.0, 4.0, 8.0, 16.0, 32.0)),
                random.choice((0, 0, 0, 0, 1)),
            )
            factor = min(5.0, max(0.2, random.lognormvariate(-0.7, 0.6)))
            kinds[f"t{team}/k{kind}"] = JobKind(declared, factor)
    return kinds


def draw_usage(kind: JobKind, random: Random) -> Resources:
    """Draw the resources that one task of a kind uses."""
    factor = kind.factor * random.lognormvariate(0.0, 0.15)
    declared = kind.declared
    return Resources(
        min(declared.processors * factor, 32.0),
        min(declared.memory_gb * factor, 64.0),
        declared.accelerators,
    )


class SimulatedEntry:
    """Simulated entry that runs a pool's placer and holds the control lease.

    :param size: number of workers.
    :param seed: seed of jobs and samples.
    """

    def __init__(self, size: int, seed: int):
        """Create the pool in the store and the platform."""
        self.random = Random(f"{seed}/entry")
        self.clock = VirtualClock(1000.0)
        self.settings = Settings()
        state = StoreState(clock=self.clock)
        self.store = MemoryStore(state, self.settings)
        self.metrics = Metrics(self.settings)
        self.kinds = make_kinds(self.random)
        self.workers = MemoryWorkers(
            self.clock, self.draw_task_truth, REPORT_LAG_S
        )
        self.median_run_s = 60.0
        self.quarantined_s: dict[str, float] = {}
        members = {}
        self.revisions = {}
        for each in map(make_worker, range(size)):
            self.workers.add(each)
            members[each.name] = InstanceRecord(each.name, POOL)
            key = INSTANCE_PREFIX + each.name
            put = Put(key, encode_record(members[each.name]))
            self.revisions[key] = self.store.txn([], [put]).revision
        self.applied_view = ConfigView(instances=members)
        put = Put(CONTROL_PREFIX + POOL, b"[]")
        self.fence = self.store.txn([], [put]).revision
        self.clock.advance(10.0)
        self.jobs = JobStore(self.store, self.metrics, self.clock)
        self.placer = PoolPlacer(
            self.settings,
            self.store,
            self.workers,
            self,
            self.metrics,
            self.clock,
            Random(seed),
        )

    def draw_task_truth(self, order: TaskOrder) -> TaskBehaviour:
        """Draw the actual resource usage and run time of a task."""
        used = draw_usage(self.kinds[order.kind], self.random)
        run_s = self.median_run_s * self.random.lognormvariate(0.0, 0.5)
        return TaskBehaviour(used, run_s)

    def submit(self, job: str, **parts) -> None:
        """Submit a generated job."""
        name = self.random.choice(sorted(self.kinds))
        team = name.partition("/")[0]
        declared = self.kinds[name].declared
        spec = JobSpec(job, POOL, team, name, declared)
        self.jobs.submit(spec._replace(**parts))

    def tick(self) -> None:
        """Advance the clock by one controller tick and run the placer."""
        self.clock.advance(self.settings.fleet.tick_s)
        self.placer.tick(POOL, self.fence)

    def view(self) -> ConfigView:
        """Return the configuration."""
        return self.applied_view

    def revision_of(self, key: str) -> int:
        """Return the revision of a configuration key."""
        return self.revisions.get(key, 0)

    def may_admit(self) -> bool:
        """Return True: the configuration is always fresh."""
        return True

    def decided(self, what: str, subject: str, why: str, inputs: dict) -> None:
        """Record when a worker was quarantined."""
        if what == "worker_quarantined":
            self.quarantined_s[subject] = self.clock()
