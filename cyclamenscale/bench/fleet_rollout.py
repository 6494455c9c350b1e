"""Roll-out time and decision time of the pool controllers.

The controllers run against an in-memory store and platform. A drain lasts
until the requests in progress when the instance is excluded have ended.
"""

from math import ceil
from random import Random
from time import perf_counter
from typing import NamedTuple

from cyclamenscale.bench.trace import (
    DEPLOYMENTS,
    LONG_SIGMA,
    MEAN_LOAD,
    SHORT_SHARE,
    SHORT_SIGMA,
    STRAGGLER_FACTORS,
    STRAGGLER_SHARE,
    Deployment,
    lognormal,
)
from cyclamenscale.fleet.budget import (
    BUDGET_PREFIX,
    CONTROL_PREFIX,
    BudgetRecord,
    allowed_out,
)
from cyclamenscale.fleet.controller import PoolController
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    POOL_PREFIX,
    ConfigView,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.settings import Settings
from cyclamenscale.standin.fleet import MemoryPlatform
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Put
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import decode_record, encode_record

START_S = 1_000_000.0
REBOOT_S = 120.0
#: Allows two instances of six or eight out of service.
MAX_OUT_SHARE = 0.34
MAX_ROLLOUT_S = 6 * 3600
#: (pools, instances per pool) for which controller ticks are timed.
DECISION_SIZES = ((5, 8), (5, 255), (20, 255), (90, 8), (90, 64), (90, 255))
TIMED_TICKS = 50


class RolloutResult(NamedTuple):
    """Figures of one policy over all pools of a deployment.

    :ivar policy: name of the roll-out policy.
    :ivar seconds: mean time until a pool's last instance was updated.
    :ivar bound_s: mean lower bound: instances / budget x mean time of one
        instance, which is its drain and reboot without any waiting.
    :ivar longest_drain_s: longest drain of the run.
    :ivar most_out: maximum number of instances of a pool out of service.
    :ivar allowed: how many instances of a pool may be out of service.
    :ivar broken: ticks with more out than allowed, all pools together.
    :ivar cut: number of requests that a reboot interrupted.
    """

    policy: str
    seconds: float
    bound_s: float
    longest_drain_s: float
    most_out: int
    allowed: int
    broken: int
    cut: int


class FleetSimulation:
    """Simulation of pools, store, platform and one controlling entry."""

    def __init__(
        self, pools: int, instances: int, settings: Settings, version: str
    ):
        """Write the configuration and take control of the pools."""
        self.clock = VirtualClock(START_S)
        self.state = StoreState(clock=self.clock)
        self.store = MemoryStore(self.state, settings)
        self.platform = MemoryPlatform(self.clock, reboot_s=REBOOT_S)
        self.pools = [f"pool-{number}" for number in range(pools)]
        self.applied_view = ConfigView()
        self.revisions: dict[str, int] = {}
        self.long_requests: dict[str, int] = {}
        records = []
        for pool in self.pools:
            records.append((POOL_PREFIX + pool, PoolRecord(pool, False, "v2")))
            each = RequestClass(f"{pool}-short", pool, 5000, MAX_OUT_SHARE)
            records.append((CLASS_PREFIX + each.name, each))
            for number in range(instances):
                name = f"{pool}-{number}"
                record = InstanceRecord(name, pool, maintained_s=START_S)
                records.append((INSTANCE_PREFIX + name, record))
                centre = f"dc-{number % 3}"
                self.platform.add(
                    PlatformInstance(
                        name,
                        "127.0.0.1:1",
                        centre,
                        f"{centre}-{number // 12}",
                        version=version,
                    )
                )
        for key, record in records:
            self.store.txn([], [Put(key, encode_record(record))])
        self.fences = {
            pool: self.store.txn(
                [], [Put(CONTROL_PREFIX + pool, b"")]
            ).revision
            for pool in self.pools
        }
        self.sync()
        self.controller = PoolController(
            settings,
            self.store,
            self.platform,
            self,
            Metrics(settings),
            self.clock,
        )

    def sync(self) -> None:
        """Read the configuration from the store and apply it."""
        found = self.store.range("config/")
        shown = {CLASS_PREFIX: {}, POOL_PREFIX: {}, INSTANCE_PREFIX: {}}
        kinds = {
            CLASS_PREFIX: RequestClass,
            POOL_PREFIX: PoolRecord,
            INSTANCE_PREFIX: InstanceRecord,
        }
        self.revisions = {}
        for item in found.items:
            self.revisions[item.key] = item.mod_revision
            for prefix, kind in kinds.items():
                if item.key.startswith(prefix):
                    each = decode_record(item.value, kind, item.key)
                    shown[prefix][each.name] = each
        self.applied_view = ConfigView(found.revision, *shown.values())

    def view(self) -> ConfigView:
        """Return the applied configuration."""
        return self.applied_view

    def revision_of(self, key: str) -> int:
        """Return the applied revision of a key."""
        return self.revisions.get(key, 0)

    def may_admit(self) -> bool:
        """Return True: the configuration is always fresh."""
        return True

    def announce(self, revision: int) -> None:
        """Do nothing: there are no other entries to notify."""

    def in_force(self, revision: int) -> bool:
        """Return whether this entry has applied a revision."""
        return self.applied_view.revision >= revision

    def in_progress(self, instance: str) -> int:
        """Return the requests in progress at an instance."""
        return self.platform.instances[instance].in_progress

    def long_work(self, pool: str) -> dict[str, int]:
        """Return the long requests in progress, by instance."""
        return self.long_requests

    def demand(self, pool: str) -> float | None:
        """Return no demand, so that no moves happen in a roll-out."""
        return None

    def unavailable(self, pool: str) -> set[str]:
        """Return an empty set: no instance fails."""
        return set()

    def probe(self, instance: PlatformInstance) -> bool:
        """Return whether an instance answers its health probe."""
        return self.platform.healthy(instance.name)

    def decided(self, what: str, subject: str, why: str, inputs: dict) -> None:
        """Discard the decision; there is no audit trail."""

    def outages(self, pool: str) -> BudgetRecord:
        """Read a pool's outages."""
        key = BUDGET_PREFIX + pool
        _, found = self.store.get(key)
        if found is None:
            return BudgetRecord()
        return decode_record(found.value, BudgetRecord, key)


class InstanceLoad:
    """Requests in progress at one instance, with their end times.

    :param rng: source of the run times.
    :param deployment: sizes and run times of the deployment.
    """

    def __init__(self, rng: Random, deployment: Deployment):
        """Initialise with the mean load in steady state."""
        self.rng = rng
        self.deployment = deployment
        self.in_progress: list[tuple[float, bool]] = []
        for _ in range(deployment.slots):
            if rng.random() < MEAN_LOAD:
                self.start_request(START_S, rng.random())

    def start_request(self, now_s: float, left_share: float = 1.0) -> None:
        """Start a request; SHORT_SHARE is a share of slot time."""
        rng, deployment = self.rng, self.deployment
        long = rng.random() >= SHORT_SHARE
        sigma = LONG_SIGMA if long else SHORT_SIGMA
        run_s = lognormal(
            rng, deployment.long_s if long else deployment.short_s, sigma
        )
        factor = sum(STRAGGLER_FACTORS) / 2
        # A slot holds a straggler with odds proportional to its run time.
        odds = STRAGGLER_SHARE * factor
        if rng.random() < odds / (1 + odds):
            run_s *= rng.uniform(*STRAGGLER_FACTORS)
        self.in_progress.append((now_s + run_s * left_share, long))

    def advance(self, now_s: float, admits: bool) -> None:
        """Remove ended requests and replace them on a live instance."""
        before = len(self.in_progress)
        self.in_progress = [
            each for each in self.in_progress if each[0] > now_s
        ]
        if not admits:
            return
        for _ in range(before - len(self.in_progress)):
            self.start_request(now_s, self.rng.random())
        if not self.in_progress:
            self.start_request(now_s, self.rng.random())


def run_rollout(
    seed: int, deployment: str, policy: str, settings: Settings
) -> RolloutResult:
    """Roll a version out over all pools of a deployment."""
    sizes = DEPLOYMENTS[deployment]
    fleet = settings.fleet._replace(rollout=policy)
    simulation = FleetSimulation(
        sizes.pools, sizes.endpoints, settings._replace(fleet=fleet), "v1"
    )
    rng = Random(f"roll-out {seed}")
    work = {
        name: InstanceLoad(rng, sizes)
        for name in simulation.platform.instances
    }
    ended: dict[str, float] = {}
    drains: dict[str, float] = {}
    most = broken = 0
    classes = [RequestClass("", "", 5000, MAX_OUT_SHARE)]
    allowed = allowed_out(sizes.endpoints, classes)
    while len(ended) < len(simulation.pools):
        now_s = simulation.clock()
        if now_s - START_S > MAX_ROLLOUT_S:
            break
        simulation.sync()
        for name, member in simulation.applied_view.instances.items():
            live = member.state == "live"
            work[name].advance(now_s, live)
            if not live and name not in drains:
                last_s = max(
                    (end for end, _ in work[name].in_progress), default=0
                )
                drains[name] = max(0.0, last_s - now_s)
            found = simulation.platform.instances[name]
            found.in_progress = len(work[name].in_progress)
            simulation.long_requests[name] = sum(
                long for _, long in work[name].in_progress
            )
        for pool in simulation.pools:
            simulation.controller.tick(pool, simulation.fences[pool])
            out = len(simulation.outages(pool).outages)
            most = max(most, out)
            broken += out > allowed
            versions = {
                simulation.platform.instances[name].listed.version
                for name, each in simulation.applied_view.instances.items()
                if each.pool == pool
            }
            if pool not in ended and not out and versions == {"v2"}:
                ended[pool] = now_s - START_S
        simulation.clock.advance(settings.fleet.tick_s)
    bounds = []
    for pool in simulation.pools:
        names = [n for n in drains if n.rpartition("-")[0] == pool]
        one_s = REBOOT_S + sum(drains[n] for n in names) / max(1, len(names))
        bounds.append(sizes.endpoints / allowed * one_s)
    times = [
        ended.get(pool, float(MAX_ROLLOUT_S)) for pool in simulation.pools
    ]
    return RolloutResult(
        policy,
        sum(times) / len(times),
        sum(bounds) / len(bounds),
        max(drains.values(), default=0.0),
        most,
        allowed,
        broken,
        sum(
            each.cut_requests
            for each in simulation.platform.instances.values()
        ),
    )


def decision_ms(
    pools: int, instances: int, settings: Settings
) -> tuple[float, float]:
    """Time a controller tick of one pool in steady state.

    :returns: p50 and p99 in milliseconds, on the real clock.
    """
    simulation = FleetSimulation(pools, instances, settings, "v2")
    times = []
    for number in range(TIMED_TICKS):
        pool = simulation.pools[number % pools]
        began_s = perf_counter()
        simulation.controller.tick(pool, simulation.fences[pool])
        times.append((perf_counter() - began_s) * 1000)
    times.sort()
    return times[len(times) // 2], times[ceil(0.99 * len(times)) - 1]
