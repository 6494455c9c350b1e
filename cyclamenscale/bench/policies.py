"""Slot scheduling policies that the policy benchmark compares.

The simulation calls ``arrive(request)`` when a request reaches its entry and
``finished(request, endpoint)`` when that entry is notified of its end. A
policy calls :meth:`Simulation.send_to_endpoint` or
:meth:`Simulation.record_refusal` for each request.
"""

from collections import defaultdict
from heapq import heappop, heappush
from typing import NamedTuple

from cyclamenscale.bench.simulation import Simulation
from cyclamenscale.bench.trace import Request
from cyclamenscale.requests.scheduling import slot_policy
from cyclamenscale.util.codec import pack
from cyclamenscale.util.rendezvous import choose_node

#: Size of the version and type fields of a frame.
FRAME_BYTES = 2
REPORT_INTERVAL_S = 0.1
LEASE_INTERVAL_S = 0.1


class LocalLoadPolicy:
    """Base of policies that use the requests in flight of one entry."""

    def __init__(self, simulation: Simulation):
        """Initialise with no requests in flight."""
        self.simulation = simulation
        self.rng = simulation.rng
        self.endpoint_count = simulation.deployment.endpoints
        self.in_flight: dict[tuple[int, int], list[int]] = defaultdict(
            lambda: [0] * self.endpoint_count
        )

    def arrive(self, request: Request) -> None:
        """Send the request at once; the endpoint queues it."""
        endpoint = self.choose(request)
        self.in_flight[request.entry, request.pool][endpoint] += 1
        self.simulation.send_to_endpoint(request, endpoint)

    def finished(self, request: Request, endpoint: int) -> None:
        """Remove a request from the load of its endpoint."""
        self.in_flight[request.entry, request.pool][endpoint] -= 1

    def least_loaded_endpoint(self, loads: list[int]) -> int:
        """Return the least loaded endpoint, breaking ties at random."""
        least = min(loads)
        return self.rng.choice(
            [index for index, load in enumerate(loads) if load == least]
        )

    def choose(self, request: Request) -> int:
        """Return the endpoint for a request."""
        raise NotImplementedError


@slot_policy("round_robin")
class RoundRobin(LocalLoadPolicy):
    """Each entry cycles through the endpoints."""

    def __init__(self, simulation: Simulation):
        """Initialise with no last endpoints; the first is random."""
        super().__init__(simulation)
        self.last_endpoint: dict[tuple[int, int], int] = {}

    def choose(self, request: Request) -> int:
        """Return the next endpoint of the cycle."""
        key = request.entry, request.pool
        if key not in self.last_endpoint:
            self.last_endpoint[key] = self.rng.randrange(self.endpoint_count)
        self.last_endpoint[key] = (
            self.last_endpoint[key] + 1
        ) % self.endpoint_count
        return self.last_endpoint[key]


@slot_policy("two_choices")
class TwoChoices(LocalLoadPolicy):
    """Choose the less loaded of two random endpoints (Mitzenmacher, 2001)."""

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        loads = self.in_flight[request.entry, request.pool]
        first, second = self.rng.sample(range(self.endpoint_count), 2)
        return first if loads[first] <= loads[second] else second


@slot_policy("least_loaded")
class LeastLoaded(LocalLoadPolicy):
    """Choose the endpoint with the fewest requests of the same entry."""

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        return self.least_loaded_endpoint(
            self.in_flight[request.entry, request.pool]
        )


class Occupancy(NamedTuple):
    """Requests in flight from an entry to each endpoint of a pool."""

    sender: str
    pool: str
    loads: list[int]


@slot_policy("shared_occupancy")
class SharedOccupancy(LocalLoadPolicy):
    """Choose the least loaded endpoint by periodic reports of all entries."""

    def __init__(self, simulation: Simulation):
        """Schedule the reports of the entries, staggered over the interval."""
        super().__init__(simulation)
        self.entries = simulation.deployment.entries
        self.received_loads: dict[tuple[int, int, int], list[int]] = {}
        self.reported_loads: dict[tuple[int, int], list[int]] = {}
        for entry in range(self.entries):
            offset_s = REPORT_INTERVAL_S * entry / self.entries
            simulation.schedule_after(offset_s, self.send_reports, entry)

    def send_reports(self, entry: int) -> None:
        """Send the loads that have changed to the other entries."""
        self.simulation.schedule_after(
            REPORT_INTERVAL_S, self.send_reports, entry
        )
        if self.simulation.is_down(entry):
            return
        for pool in range(self.simulation.deployment.pools):
            loads = self.in_flight[entry, pool]
            if loads == self.reported_loads.get(
                (entry, pool), [0] * self.endpoint_count
            ):
                continue
            self.reported_loads[entry, pool] = list(loads)
            message = Occupancy(f"entry-{entry}", f"pool-{pool}", list(loads))
            size_bytes = len(pack(message)) + FRAME_BYTES
            for other in range(self.entries):
                if other != entry:
                    key = other, entry, pool
                    self.simulation.send(
                        entry,
                        other,
                        size_bytes,
                        self.handle_report,
                        key,
                        list(loads),
                    )

    def handle_report(
        self, key: tuple[int, int, int], loads: list[int]
    ) -> None:
        """Store the loads that another entry reports."""
        self.received_loads[key] = loads

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        loads = list(self.in_flight[request.entry, request.pool])
        for other in self.simulation.live_entries():
            loads_of_other = self.received_loads.get(
                (request.entry, other, request.pool)
            )
            if loads_of_other:
                loads = [
                    a + b for a, b in zip(loads, loads_of_other, strict=True)
                ]
        return self.least_loaded_endpoint(loads)


class Demand(NamedTuple):
    """Slots of a pool that an entry uses, and requests that wait there."""

    sender: str
    pool: str
    used: int
    waiting: int


class Share(NamedTuple):
    """Number of slots of a pool that an entry may use."""

    sender: str
    pool: str
    slots: int


@slot_policy("slot_shares")
class SlotShares(LocalLoadPolicy):
    """Lease shares of the slots to entries in proportion to their demand.

    An entry orders its own requests by class. The allocator, an entry chosen
    by rendezvous hashing for each pool, leases only slots that the entries
    have given back.
    """

    def __init__(self, simulation: Simulation):
        """Initialise with equal shares for all entries."""
        super().__init__(simulation)
        self.entries = simulation.deployment.entries
        self.pool_slots = self.endpoint_count * simulation.deployment.slots
        self.queues: dict[tuple[int, int], list] = defaultdict(list)
        pools = range(simulation.deployment.pools)
        self.shares = {
            (entry, pool): self.pool_slots // self.entries
            for entry in range(self.entries)
            for pool in pools
        }
        self.leased_shares = dict(self.shares)
        self.demands: dict[tuple[int, int], Demand] = {}
        self.reported_demands: dict[tuple[int, int], Demand] = {}
        for entry in range(self.entries):
            offset_s = LEASE_INTERVAL_S * entry / self.entries
            simulation.schedule_after(offset_s, self.send_demands, entry)
        for pool in pools:
            simulation.schedule_after(
                LEASE_INTERVAL_S * 1.01, self.divide_slots, pool
            )

    def arrive(self, request: Request) -> None:
        """Queue the request at its entry."""
        key = request.entry, request.pool
        item = request.long, request.number, request
        heappush(self.queues[key], item)
        self.start_waiting(key)

    def finished(self, request: Request, endpoint: int) -> None:
        """Free the slot and start a waiting request."""
        super().finished(request, endpoint)
        self.start_waiting((request.entry, request.pool))

    def start_waiting(self, key: tuple[int, int]) -> None:
        """Start waiting requests within the entry's share."""
        queue = self.queues[key]
        loads = self.in_flight[key]
        while queue and sum(loads) < self.shares[key]:
            request = heappop(queue)[2]
            endpoint = self.least_loaded_endpoint(loads)
            loads[endpoint] += 1
            self.simulation.send_to_endpoint(request, endpoint)

    def find_allocator(self, pool: int) -> int:
        """Return the entry that allocates a pool's slots."""
        names = [f"entry-{entry}" for entry in self.simulation.live_entries()]
        return int(choose_node(f"pool-{pool}", names)[6:])

    def send_demands(self, entry: int) -> None:
        """Send demands that have changed to the allocators."""
        self.simulation.schedule_after(
            LEASE_INTERVAL_S, self.send_demands, entry
        )
        if self.simulation.is_down(entry):
            return
        for pool in range(self.simulation.deployment.pools):
            key = entry, pool
            used = sum(self.in_flight[key])
            demand = Demand(
                f"entry-{entry}", f"pool-{pool}", used, len(self.queues[key])
            )
            if demand == self.reported_demands.get(key):
                continue
            self.reported_demands[key] = demand
            self.send_or_call(
                entry,
                self.find_allocator(pool),
                demand,
                self.handle_demand,
                key,
                demand,
            )

    def send_or_call(self, source, target, message, action, *args) -> None:
        """Send a message, or call its action directly if it is local."""
        if source == target:
            action(*args)
            return
        size_bytes = len(pack(message)) + FRAME_BYTES
        self.simulation.send(source, target, size_bytes, action, *args)

    def handle_demand(self, key: tuple[int, int], demand: Demand) -> None:
        """Store the demand that an entry reports."""
        self.demands[key] = demand

    def divide_slots(self, pool: int) -> None:
        """Divide the slots by demand; each live entry keeps one."""
        self.simulation.schedule_after(
            LEASE_INTERVAL_S, self.divide_slots, pool
        )
        allocator = self.find_allocator(pool)
        if self.simulation.is_down(allocator):
            return
        alive = self.simulation.live_entries()
        needs = {}
        for entry in alive:
            demand = self.demands.get((entry, pool))
            needs[entry] = 1 + (demand.used + demand.waiting if demand else 0)
        whole = sum(needs.values())
        spare = self.pool_slots - len(alive)
        wanted = {
            entry: 1 + int(spare * need / whole)
            for entry, need in needs.items()
        }
        free = self.pool_slots
        for entry in alive:
            demand = self.demands.get((entry, pool))
            used = demand.used if demand else 0
            wanted[entry] = max(wanted[entry], min(used, self.pool_slots))
            free -= wanted[entry]
        for entry in sorted(alive, key=lambda one: wanted[one], reverse=True):
            # Slots still in use by other entries cannot be leased yet.
            cut = min(-free, wanted[entry] - 1) if free < 0 else 0
            wanted[entry] -= cut
            free += cut
        for entry in alive:
            key = entry, pool
            if wanted[entry] != self.leased_shares[key]:
                self.leased_shares[key] = wanted[entry]
                share = Share(
                    f"entry-{allocator}", f"pool-{pool}", wanted[entry]
                )
                self.send_or_call(
                    allocator,
                    entry,
                    share,
                    self.handle_share,
                    key,
                    wanted[entry],
                )

    def handle_share(self, key: tuple[int, int], slots: int) -> None:
        """Apply a new share."""
        self.shares[key] = slots
        self.start_waiting(key)


@slot_policy("central")
class CentralQueue:
    """Baseline: one queue per pool, complete information, no latency.

    Strict priority: short requests that are not stragglers, then stragglers
    of short classes, then long requests; each in the order of arrival.
    """

    def __init__(self, simulation: Simulation):
        """Initialise with empty queues and free slots."""
        self.simulation = simulation
        self.queues: dict[int, list] = defaultdict(list)
        self.used = [
            [0] * simulation.deployment.endpoints
            for _ in range(simulation.deployment.pools)
        ]

    def arrive(self, request: Request) -> None:
        """Queue the request."""
        rank = 2 if request.long else int(request.straggler)
        item = rank, request.number, request
        heappush(self.queues[request.pool], item)
        self.start_waiting(request.pool)

    def finished(self, request: Request, endpoint: int) -> None:
        """Free the slot and start a waiting request."""
        self.used[request.pool][endpoint] -= 1
        self.start_waiting(request.pool)

    def start_waiting(self, pool: int) -> None:
        """Start waiting requests in the free slots."""
        used = self.used[pool]
        while (
            self.queues[pool] and min(used) < self.simulation.deployment.slots
        ):
            request = heappop(self.queues[pool])[2]
            endpoint = used.index(min(used))
            used[endpoint] += 1
            self.simulation.send_to_endpoint(
                request, endpoint, with_latency=False
            )
