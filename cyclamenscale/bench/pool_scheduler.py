"""Run the production pool scheduler in virtual time."""

from functools import partial
from random import Random
from typing import NamedTuple

from cyclamenscale.bench.simulation import Simulation
from cyclamenscale.bench.trace import Request
from cyclamenscale.members.messages import encode_frame
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    ConfigView,
    Endpoint,
    MemberList,
    MemberRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.requests.scheduling import slot_policy
from cyclamenscale.requests.slots import Slot, SlotBroker
from cyclamenscale.settings import EntrySettings, Settings


class EntryLink:
    """Peer link of one entry on the virtual network."""

    def __init__(self, bench: "PoolSchedulerPolicy", entry: int):
        """Initialise with no handlers."""
        self.policy = bench
        self.entry = entry
        self.name = f"entry-{entry}"
        self.handlers: dict[type, object] = {}

    def on(self, kind: type, handler) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    def send(self, name: str, message: NamedTuple) -> bool:
        """Send a message to an entry."""
        target = int(name[6:])
        size_bytes = len(encode_frame(message))
        self.policy.simulation.send(
            self.entry,
            target,
            size_bytes,
            self.policy.receive,
            target,
            message,
        )
        return True

    def alive(self) -> list[str]:
        """Return the names of the live entries."""
        return [
            f"entry-{entry}" for entry in self.policy.simulation.live_entries()
        ]


class AppliedConfig:
    """The applied configuration."""

    def __init__(self, view: ConfigView):
        """Store the configuration view."""
        self.view = view


@slot_policy("pool_scheduler")
class PoolSchedulerPolicy:
    """Run the slot brokers of real entries in virtual time."""

    #: Settings of all entries; override to benchmark other values.
    base_settings = Settings()

    def __init__(self, simulation: Simulation):
        """Build one broker per entry."""
        self.simulation = simulation
        size = simulation.deployment
        self.classes = {}
        self.endpoints = {}
        for pool in range(size.pools):
            name = f"pool-{pool}"
            for kind, target_s in (
                ("short", size.short_target_s),
                ("long", size.long_target_s),
            ):
                one = f"{kind}-{pool}"
                self.classes[one] = RequestClass(
                    one, name, round(target_s * 1000), 0.2
                )
            self.endpoints[name] = [
                Endpoint(
                    f"{name}-{i}", name, "", f"dc-{i % size.centres}", "r",
                    size.slots,
                )
                for i in range(size.endpoints)
            ]  # fmt: skip
        members = tuple(
            MemberRecord(f"entry-{i}", 1, "", f"dc-{i % size.centres}")
            for i in range(size.entries)
        )
        config = AppliedConfig(
            ConfigView(
                1,
                self.classes,
                {name: PoolRecord(name) for name in self.endpoints},
                {},
                MemberList(members),
            )
        )
        self.links = [EntryLink(self, i) for i in range(size.entries)]
        self.metrics = Metrics(self.base_settings)
        self.brokers = [
            SlotBroker(
                self.base_settings._replace(
                    entry=EntrySettings(
                        name=f"entry-{i}", data_centre=f"dc-{i % size.centres}"
                    )
                ),
                config,
                lambda pool: {e.name: e.slots for e in self.endpoints[pool]},
                lambda pool: self.endpoints[pool],
                self.links[i],
                self.metrics,
                simulation.clock,
                Random(f"{simulation.rng.random()}"),
            )
            for i in range(size.entries)
        ]
        self.next_step_s = [float("inf")] * size.entries
        self.request_numbers: dict[int, tuple[int, str]] = {}

    def schedule_step(self, entry: int, delay_s: float = 0.0) -> None:
        """Schedule the entry's next step, at most one per batch interval."""
        broker = self.brokers[entry]
        now_s = self.simulation.clock.now_s
        at_s = max(
            now_s + delay_s,
            broker.flushed_s + self.base_settings.peers.batch_ms / 1000,
        )
        if at_s < self.next_step_s[entry]:
            self.next_step_s[entry] = at_s
            self.simulation.schedule_at(
                at_s, self.run_scheduled_step, entry, at_s
            )

    def run_scheduled_step(self, entry: int, at_s: float) -> None:
        """Run a scheduled step unless it was rescheduled."""
        if self.next_step_s[entry] == at_s:
            self.simulation.call_at_entry(entry, self.step, entry)

    def step(self, entry: int) -> None:
        """Run one step of an entry's broker and schedule the next."""
        self.next_step_s[entry] = float("inf")
        self.schedule_step(entry, self.brokers[entry].step())

    def receive(self, entry: int, message: NamedTuple) -> None:
        """Deliver a message to an entry."""
        self.links[entry].handlers[type(message)](message)
        self.schedule_step(entry)

    def arrive(self, request: Request) -> None:
        """Request a slot and schedule the check of the deadline."""
        kind = "long" if request.long else "short"
        request_class = self.classes[f"{kind}-{request.pool}"]
        late_s = self.simulation.clock.now_s - request.at_s
        slack_ms = request_class.finish_within_ms - round(late_s * 1000)
        broker = self.brokers[request.entry]
        number, future = broker.submit(request_class, max(0, slack_ms))
        future.add_done_callback(partial(self.handle_grant, request, number))
        self.simulation.schedule_after(
            slack_ms / 1000,
            self.simulation.call_at_entry,
            request.entry,
            self.expire,
            request,
            number,
            future,
        )
        self.schedule_step(request.entry)

    def handle_grant(self, request: Request, number: int, future) -> None:
        """Send a request to its granted endpoint, or record a refusal."""
        grant = future.result()
        self.brokers[request.entry].futures.pop(number, None)
        if not grant.endpoint:
            self.simulation.record_refusal(request)
            return
        pool = f"pool-{request.pool}"
        self.request_numbers[request.number] = number, pool
        endpoint = int(grant.endpoint.rpartition("-")[2])
        self.simulation.send_to_endpoint(request, endpoint)

    def expire(self, request: Request, number: int, future) -> None:
        """Withdraw and refuse a request whose deadline has passed."""
        if not future.done():
            broker = self.brokers[request.entry]
            broker.withdraw(number, f"pool-{request.pool}", future)
            self.simulation.record_refusal(request)
            self.schedule_step(request.entry)

    def finished(self, request: Request, endpoint: int) -> None:
        """Release the slot."""
        number, _ = self.request_numbers.pop(request.number)
        broker = self.brokers[request.entry]
        slot = Slot(number, f"pool-{request.pool}", "")
        broker.release(slot, round(request.run_s * 1000), True)
        self.schedule_step(request.entry)
