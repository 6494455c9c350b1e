"""A pool with two placers, a store and workers, for tests."""

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
from cyclamenscale.placing.jobs import JobBook
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
#: Above what a task is ever reported to use, so that sums are compared
#: and not rounding.
SLACK = Resources(1e-5, 1e-5, 0)


class InterruptedStore(MemoryStore):
    """A store whose next transaction comes after a pause of the caller."""

    def __init__(self, *args):
        super().__init__(*args)
        self.pause = None

    def txn(self, compares, writes):
        if self.pause:
            pause, self.pause = self.pause, None
            pause()
        return super().txn(compares, writes)


class FakeEntry:
    """What a placer sees of its entry; the test moves the view."""

    def __init__(self, name: str, world: "World"):
        self.world = world
        self.store = InterruptedStore(world.state, world.settings)
        self.metrics = Metrics(world.settings)
        self.decisions: list[tuple[str, str]] = []
        self.sync()
        settings = world.settings._replace(
            entry=world.settings.entry._replace(name=name)
        )
        self.holder = ControlHolder(
            settings,
            self.store,
            1,
            lambda: world.alive,
            self.metrics,
            world.clock,
        )
        self.placer = PoolPlacer(
            settings,
            self.store,
            world.workers,
            self,
            self.metrics,
            world.clock,
            Random(1),
        )

    def sync(self) -> None:
        """Apply the store's instance records."""
        items = MemoryStore(self.world.state).range(INSTANCE_PREFIX).items
        self.revisions = {item.key: item.mod_revision for item in items}
        records = [
            decode_record(item.value, InstanceRecord, item.key)
            for item in items
        ]
        self.shown = ConfigView(instances={e.name: e for e in records})

    def tick(self) -> None:
        """Renew the control and do what can be done."""
        self.holder.tick([POOL])
        fence = self.holder.fence(POOL)
        if fence is not None:
            self.placer.tick(POOL, fence)

    def view(self) -> ConfigView:
        return self.shown

    def revision_of(self, key: str) -> int:
        return self.revisions.get(key, 0)

    def may_admit(self) -> bool:
        return True

    def decided(self, what: str, subject: str, why: str, inputs: dict):
        self.decisions.append((what, subject))


class World:
    """One pool, a store, workers of a platform, two entries."""

    def __init__(self, size: int = 6, **placement):
        self.clock = VirtualClock(1000.0)
        defaults = Settings()
        changed = {"lost_s": 6.0, "quarantine_s": 30.0, **placement}
        self.settings = defaults._replace(
            placement=defaults.placement._replace(**changed)
        )
        self.state = StoreState(clock=self.clock)
        self.admin = MemoryStore(self.state)
        self.book = JobBook(
            self.admin, Metrics(self.settings), lambda: self.clock()
        )
        #: What the tasks of each kind do.
        self.truths: dict[str, TaskBehaviour] = {}
        self.workers = MemoryWorkers(
            self.clock,
            lambda order: self.truths.get(
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
        self.set_state(name, "live")

    def set_state(self, name: str, state: str, pool: str = POOL) -> None:
        """Write a worker's instance record."""
        record = InstanceRecord(name, pool, state)
        put = Put(INSTANCE_PREFIX + name, encode_record(record))
        self.admin.txn([], [put])

    def submit(self, job: str, **parts) -> None:
        """Submit a job with small defaults."""
        spec = JobSpec(job, POOL, "t1", "k1", Resources(2, 4))
        self.book.submit(spec._replace(**parts))

    def jobs(self):
        """Read all jobs' records by id."""
        found = self.book.read_jobs(POOL)
        return {job: each.record for job, each in found.items()}

    def states(self) -> Counter:
        """Count jobs by state."""
        return Counter(each.state for each in self.jobs().values())

    def quarantined(self) -> set[str]:
        """Read the workers in quarantine."""
        _, found = self.admin.get(QUARANTINE_PREFIX + POOL)
        if found is None:
            return set()
        record = decode_record(found.value, QuarantineRecord, found.key)
        return {each.worker for each in record.workers}

    def sync(self) -> None:
        """Let both entries apply the configuration."""
        for entry in self.entries:
            entry.sync()

    def run(self, seconds: int) -> None:
        """Let time pass with everything healthy."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.sync()
            for entry in self.entries:
                entry.tick()
