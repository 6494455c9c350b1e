"""Ways to share a pool's slots, as played by the policy benchmark.

Each policy gets ``arrive(request)`` at the request's entry and
``finished(request, endpoint)`` when that entry learns of its end, and calls
``world.start`` or ``world.refuse``.
"""

from collections import defaultdict
from heapq import heappop, heappush
from typing import NamedTuple

from cyclamenscale.bench.trace import Request
from cyclamenscale.bench.world import World
from cyclamenscale.requests.scheduling import slot_policy
from cyclamenscale.util.codec import pack
from cyclamenscale.util.rendezvous import choose_node

#: Version and type of a frame.
FRAME_BYTES = 2
EXCHANGE_S = 0.1
LEASE_S = 0.1


class OwnView:
    """Base of the policies that choose on what one entry has sent."""

    def __init__(self, world: World):
        """Start with nothing sent."""
        self.world = world
        self.rng = world.rng
        self.count = world.deployment.endpoints
        self.sent: dict[tuple[int, int], list[int]] = defaultdict(
            lambda: [0] * self.count
        )

    def arrive(self, request: Request) -> None:
        """Send the request at once; the endpoint queues it."""
        endpoint = self.choose(request)
        self.sent[request.entry, request.pool][endpoint] += 1
        self.world.start(request, endpoint)

    def finished(self, request: Request, endpoint: int) -> None:
        """Note that the endpoint has one request less."""
        self.sent[request.entry, request.pool][endpoint] -= 1

    def least(self, loads: list[int]) -> int:
        """Return the endpoint with the least load, ties at random."""
        least = min(loads)
        return self.rng.choice(
            [place for place, load in enumerate(loads) if load == least]
        )

    def choose(self, request: Request) -> int:
        """Return the endpoint for a request."""
        raise NotImplementedError


@slot_policy("round_robin")
class RoundRobin(OwnView):
    """Each entry takes the endpoints in turn."""

    def __init__(self, world: World):
        """Start each entry at a random endpoint."""
        super().__init__(world)
        self.turn: dict[tuple[int, int], int] = {}

    def choose(self, request: Request) -> int:
        """Return the endpoint whose turn it is."""
        key = request.entry, request.pool
        if key not in self.turn:
            self.turn[key] = self.rng.randrange(self.count)
        self.turn[key] = (self.turn[key] + 1) % self.count
        return self.turn[key]


@slot_policy("two_choices")
class TwoChoices(OwnView):
    """The less loaded of two random endpoints (Mitzenmacher, 2001)."""

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        loads = self.sent[request.entry, request.pool]
        first, second = self.rng.sample(range(self.count), 2)
        return first if loads[first] <= loads[second] else second


@slot_policy("least_loaded")
class LeastLoaded(OwnView):
    """The endpoint with the fewest of the entry's own requests."""

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        return self.least(self.sent[request.entry, request.pool])


class Occupancy(NamedTuple):
    """What an entry has sent to each endpoint of a pool."""

    sender: str
    pool: str
    loads: list[int]


@slot_policy("shared_occupancy")
class SharedOccupancy(OwnView):
    """Least loaded by what all entries report at an interval."""

    def __init__(self, world: World):
        """Start the reports, spread over the interval."""
        super().__init__(world)
        self.entries = world.deployment.entries
        self.heard: dict[tuple[int, int, int], list[int]] = {}
        self.told: dict[tuple[int, int], list[int]] = {}
        for entry in range(self.entries):
            offset_s = EXCHANGE_S * entry / self.entries
            world.after(offset_s, self.report, entry)

    def report(self, entry: int) -> None:
        """Tell the others what has changed."""
        self.world.after(EXCHANGE_S, self.report, entry)
        if self.world.down(entry):
            return
        for pool in range(self.world.deployment.pools):
            loads = self.sent[entry, pool]
            if loads == self.told.get((entry, pool), [0] * self.count):
                continue
            self.told[entry, pool] = list(loads)
            message = Occupancy(f"entry-{entry}", f"pool-{pool}", list(loads))
            size_bytes = len(pack(message)) + FRAME_BYTES
            for other in range(self.entries):
                if other != entry:
                    key = other, entry, pool
                    self.world.send(
                        entry, other, size_bytes, self.hear, key, list(loads)
                    )

    def hear(self, key: tuple[int, int, int], loads: list[int]) -> None:
        """Take over a report."""
        self.heard[key] = loads

    def choose(self, request: Request) -> int:
        """Return the endpoint."""
        loads = list(self.sent[request.entry, request.pool])
        for other in self.world.alive():
            heard = self.heard.get((request.entry, other, request.pool))
            if heard:
                loads = [a + b for a, b in zip(loads, heard, strict=True)]
        return self.least(loads)


class Demand(NamedTuple):
    """How many slots of a pool an entry uses and needs."""

    sender: str
    pool: str
    used: int
    waiting: int


class Share(NamedTuple):
    """How many slots of a pool an entry may use."""

    sender: str
    pool: str
    slots: int


@slot_policy("slot_shares")
class SlotShares(OwnView):
    """Shares of the slots are leased to entries and follow their demand.

    An entry orders its own requests by class. The pool's lessor hands out
    only what the entries have given back.
    """

    def __init__(self, world: World):
        """Start with equal shares."""
        super().__init__(world)
        self.entries = world.deployment.entries
        self.slots = self.count * world.deployment.slots
        self.queues: dict[tuple[int, int], list] = defaultdict(list)
        pools = range(world.deployment.pools)
        self.share = {
            (entry, pool): self.slots // self.entries
            for entry in range(self.entries)
            for pool in pools
        }
        self.leased = dict(self.share)
        self.demands: dict[tuple[int, int], Demand] = {}
        self.told: dict[tuple[int, int], Demand] = {}
        for entry in range(self.entries):
            offset_s = LEASE_S * entry / self.entries
            world.after(offset_s, self.report, entry)
        for pool in pools:
            world.after(LEASE_S * 1.01, self.divide, pool)

    def arrive(self, request: Request) -> None:
        """Queue the request at its entry."""
        key = request.entry, request.pool
        item = request.long, request.number, request
        heappush(self.queues[key], item)
        self.serve(key)

    def finished(self, request: Request, endpoint: int) -> None:
        """Use the slot again."""
        super().finished(request, endpoint)
        self.serve((request.entry, request.pool))

    def serve(self, key: tuple[int, int]) -> None:
        """Start requests within the entry's share."""
        queue = self.queues[key]
        loads = self.sent[key]
        while queue and sum(loads) < self.share[key]:
            request = heappop(queue)[2]
            endpoint = self.least(loads)
            loads[endpoint] += 1
            self.world.start(request, endpoint)

    def lessor(self, pool: int) -> int:
        """Return the entry that leases a pool's slots."""
        names = [f"entry-{entry}" for entry in self.world.alive()]
        return int(choose_node(f"pool-{pool}", names)[6:])

    def report(self, entry: int) -> None:
        """Tell the lessors what has changed."""
        self.world.after(LEASE_S, self.report, entry)
        if self.world.down(entry):
            return
        for pool in range(self.world.deployment.pools):
            key = entry, pool
            used = sum(self.sent[key])
            demand = Demand(
                f"entry-{entry}", f"pool-{pool}", used, len(self.queues[key])
            )
            if demand == self.told.get(key):
                continue
            self.told[key] = demand
            self.tell(entry, self.lessor(pool), demand, self.hear, key, demand)

    def tell(self, source, target, message, action, *args) -> None:
        """Send a message, or act at once if it is for the sender."""
        if source == target:
            action(*args)
            return
        size_bytes = len(pack(message)) + FRAME_BYTES
        self.world.send(source, target, size_bytes, action, *args)

    def hear(self, key: tuple[int, int], demand: Demand) -> None:
        """Take over a demand."""
        self.demands[key] = demand

    def divide(self, pool: int) -> None:
        """Divide the slots by demand; each live entry keeps one."""
        self.world.after(LEASE_S, self.divide, pool)
        lessor = self.lessor(pool)
        if self.world.down(lessor):
            return
        alive = self.world.alive()
        needs = {}
        for entry in alive:
            demand = self.demands.get((entry, pool))
            needs[entry] = 1 + (demand.used + demand.waiting if demand else 0)
        whole = sum(needs.values())
        spare = self.slots - len(alive)
        wanted = {
            entry: 1 + int(spare * need / whole)
            for entry, need in needs.items()
        }
        free = self.slots
        for entry in alive:
            demand = self.demands.get((entry, pool))
            used = demand.used if demand else 0
            wanted[entry] = max(wanted[entry], min(used, self.slots))
            free -= wanted[entry]
        for entry in sorted(alive, key=lambda one: wanted[one], reverse=True):
            # What is still in use elsewhere cannot be leased yet.
            cut = min(-free, wanted[entry] - 1) if free < 0 else 0
            wanted[entry] -= cut
            free += cut
        for entry in alive:
            key = entry, pool
            if wanted[entry] != self.leased[key]:
                self.leased[key] = wanted[entry]
                share = Share(f"entry-{lessor}", f"pool-{pool}", wanted[entry])
                self.tell(lessor, entry, share, self.take, key, wanted[entry])

    def take(self, key: tuple[int, int], slots: int) -> None:
        """Take over a share."""
        self.share[key] = slots
        self.serve(key)


@slot_policy("central")
class Central:
    """The yardstick: one queue, perfect knowledge, no message delay.

    Strict priority: work that really is short, then stragglers of short
    classes, then long work; each in the order of arrival.
    """

    def __init__(self, world: World):
        """Start idle."""
        self.world = world
        self.queues: dict[int, list] = defaultdict(list)
        self.used = [
            [0] * world.deployment.endpoints
            for _ in range(world.deployment.pools)
        ]

    def arrive(self, request: Request) -> None:
        """Queue the request."""
        rank = 2 if request.long else int(request.straggler)
        item = rank, request.number, request
        heappush(self.queues[request.pool], item)
        self.serve(request.pool)

    def finished(self, request: Request, endpoint: int) -> None:
        """Use the slot again."""
        self.used[request.pool][endpoint] -= 1
        self.serve(request.pool)

    def serve(self, pool: int) -> None:
        """Fill the free slots."""
        used = self.used[pool]
        while self.queues[pool] and min(used) < self.world.deployment.slots:
            request = heappop(self.queues[pool])[2]
            endpoint = used.index(min(used))
            used[endpoint] += 1
            self.world.start(request, endpoint, trip=False)
