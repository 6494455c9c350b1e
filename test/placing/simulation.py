"""Simulation of a pool with two placers, a store and workers."""

from collections import Counter
from random import Random

from cyclamenscale.fleet.control import ControlHolder
from cyclamenscale.fleet.ports import PlatformWorker, Resources
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import INSTANCE_PREFIX, ConfigView, InstanceRecord
from cyclamenscale.placing.job_records import (
    QUARANTINE_PREFIX,
    JobSpec,
    QuarantineRecord,
)
from cyclamenscale.placing.jobs import JobStore
from cyclamenscale.placing.placer import PoolPlacer
from cyclamenscale.settings import Settings
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.standin.workers import MemoryWorkers, TaskBehaviour
from cyclamenscale.store.port import Put
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import decode_record, encode_record

POOL = "north"
CAPACITY = Resources(8.0, 32.0, 1)
#: Tolerance for rounding errors when sums of allocations are compared.
SLACK = Resources(1e-5, 1e-5, 0)


class InterruptedStore(MemoryStore):
    """A store that runs a hook once, before its next transaction."""

    def __init__(self, *args):
        super().__init__(*args)
        self.before_txn = None

    def txn(self, compares, writes):
        if self.before_txn:
            before_txn, self.before_txn = self.before_txn, None
            before_txn()
        return super().txn(compares, writes)


class FakeEntry:
    """Entry with a placer; its view changes only with :meth:`sync`."""

    def __init__(self, name: str, simulation: "PoolSimulation"):
        self.simulation = simulation
        self.store = InterruptedStore(simulation.state, simulation.settings)
        self.metrics = Metrics(simulation.settings)
        self.decisions: list[tuple[str, str]] = []
        self.sync()
        settings = simulation.settings._replace(
            entry=simulation.settings.entry._replace(name=name)
        )
        self.holder = ControlHolder(
            settings,
            self.store,
            1,
            lambda: simulation.alive,
            self.metrics,
            simulation.clock,
        )
        self.placer = PoolPlacer(
            settings,
            self.store,
            simulation.workers,
            self,
            self.metrics,
            simulation.clock,
            Random(1),
        )

    def sync(self) -> None:
        """Apply the instance records in the store to the view."""
        items = MemoryStore(self.simulation.state).range(INSTANCE_PREFIX).items
        self.revisions = {item.key: item.mod_revision for item in items}
        records = [
            decode_record(item.value, InstanceRecord, item.key)
            for item in items
        ]
        self.config_view = ConfigView(instances={e.name: e for e in records})

    def tick(self) -> None:
        """Renew the control of the pool and, if held, run the placer."""
        self.holder.tick([POOL])
        fence = self.holder.fence(POOL)
        if fence is not None:
            self.placer.tick(POOL, fence)

    def view(self) -> ConfigView:
        return self.config_view

    def revision_of(self, key: str) -> int:
        return self.revisions.get(key, 0)

    def may_admit(self) -> bool:
        return True

    def decided(self, what: str, subject: str, why: str, inputs: dict):
        self.decisions.append((what, subject))


class PoolSimulation:
    """A pool in virtual time: store, workers and two entries.

    :param size: number of workers.
    :param placement: placement settings that differ from the defaults.
    """

    def __init__(self, size: int = 6, **placement):
        self.clock = VirtualClock(1000.0)
        defaults = Settings()
        changed = {"lost_s": 6.0, "quarantine_s": 30.0, **placement}
        self.settings = defaults._replace(
            placement=defaults.placement._replace(**changed)
        )
        self.state = StoreState(clock=self.clock)
        self.admin = MemoryStore(self.state)
        self.job_store = JobStore(
            self.admin, Metrics(self.settings), lambda: self.clock()
        )
        #: Usage, run time and outcome of tasks, by kind of job.
        self.behaviours: dict[str, TaskBehaviour] = {}
        self.workers = MemoryWorkers(
            self.clock,
            lambda order: self.behaviours.get(
                order.kind, TaskBehaviour(Resources(1, 1), 4.0)
            ),
        )
        for number in range(size):
            self.add_worker(f"w{number}", number)
        self.clock.advance(5.0)
        self.alive = ["e1", "e2"]
        self.entries = [FakeEntry(name, self) for name in self.alive]

    def add_worker(self, name: str, number: int) -> None:
        """Add a worker to the platform and the pool."""
        self.workers.add(
            PlatformWorker(name, f"d{number % 3}", f"r{number % 2}", CAPACITY)
        )
        self.set_instance_state(name, "live")

    def set_instance_state(
        self, name: str, state: str, pool: str = POOL
    ) -> None:
        """Write a worker's instance record."""
        record = InstanceRecord(name, pool, state)
        put = Put(INSTANCE_PREFIX + name, encode_record(record))
        self.admin.txn([], [put])

    def submit(self, job: str, **fields) -> None:
        """Submit a small job; ``fields`` replace fields of its spec."""
        spec = JobSpec(job, POOL, "t1", "k1", Resources(2, 4))
        self.job_store.submit(spec._replace(**fields))

    def jobs(self):
        """Read the job records by id."""
        found = self.job_store.read_jobs(POOL)
        return {job: each.record for job, each in found.items()}

    def states(self) -> Counter:
        """Count jobs by state."""
        return Counter(each.state for each in self.jobs().values())

    def quarantined(self) -> set[str]:
        """Read the names of the workers in quarantine."""
        _, found = self.admin.get(QUARANTINE_PREFIX + POOL)
        if found is None:
            return set()
        record = decode_record(found.value, QuarantineRecord, found.key)
        return {each.worker for each in record.workers}

    def sync(self) -> None:
        """Make both entries apply the stored configuration."""
        for entry in self.entries:
            entry.sync()

    def run(self, seconds: int) -> None:
        """Run both entries once a second, without faults."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.sync()
            for entry in self.entries:
                entry.tick()
