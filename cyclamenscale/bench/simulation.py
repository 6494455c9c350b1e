"""Discrete-event simulation behind the policy benchmark."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from cyclamenscale.bench.trace import Deployment, Request
from cyclamenscale.members.messages import Heartbeat, encode_frame
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import VirtualClock

#: Size of the TCP and IP headers of a message.
HEADER_BYTES = 40
#: Size of the flags and length before each frame in ZMTP 3.
ZMTP_BYTES = 2
#: Time until the load balancer's health polls detect a paused entry; later
#: arrivals avoid it.
HEALTH_POLL_S = 1.0


class Fault(NamedTuple):
    """A fault of one entry.

    :ivar kind: ``pause`` or ``death``.
    :ivar entry: index of the entry.
    :ivar at_s: start of the fault.
    :ivar for_s: duration of a pause.
    """

    kind: str
    entry: int
    at_s: float
    for_s: float = 5.0


class Outcome:
    """Times at which a request started and ended or was refused."""

    __slots__ = ("start_s", "end_s", "refused_s", "lost", "entry")

    def __init__(self, entry: int):
        """Initialise with no times."""
        self.entry = entry
        self.start_s: float | None = None
        self.end_s: float | None = None
        self.refused_s: float | None = None
        self.lost = False


class SimulatedEndpoint:
    """Endpoint that runs a request in each slot and queues the rest (FIFO)."""

    __slots__ = ("running", "queue")

    def __init__(self):
        """Initialise with no requests."""
        self.running = 0
        self.queue: deque[Request] = deque()


class Simulation:
    """Simulation of one policy on one trace.

    :param deployment: sizes of the deployment.
    :param trace: arrivals.
    :param seed: seed of the policy's random choices.
    :param fault: fault to inject, or None.
    """

    def __init__(
        self,
        deployment: Deployment,
        trace: list[Request],
        seed: int,
        fault: Fault | None = None,
    ):
        """Initialise at time zero with no events."""
        self.deployment = deployment
        self.trace = trace
        self.fault = fault
        self.settings = Settings()
        self.clock = VirtualClock()
        self.rng = Random(f"policy {seed}")
        self.events: list[tuple] = []
        self.event_count = 0
        self.endpoints = [
            [SimulatedEndpoint() for _ in range(deployment.endpoints)]
            for _ in range(deployment.pools)
        ]
        self.outcomes = [Outcome(request.entry) for request in trace]
        self.sent_bytes = [0] * deployment.entries
        self.sent_count = [0] * deployment.entries
        self.paused_calls: list[tuple] = []
        self.policy = None

    # Events.

    def schedule_at(self, at_s: float, action: Callable, *args) -> None:
        """Schedule a call at a virtual time."""
        self.event_count += 1
        heappush(self.events, (at_s, self.event_count, action, args))

    def schedule_after(self, delay_s: float, action: Callable, *args) -> None:
        """Schedule a call after a delay."""
        self.schedule_at(self.clock.now_s + delay_s, action, *args)

    def run(self, policy, until_s: float) -> None:
        """Run the trace with a policy.

        :param policy: receives ``arrive`` and ``finished`` calls.
        :param until_s: virtual time at which to stop.
        """
        self.policy = policy
        if self.trace:
            self.schedule_at(self.trace[0].at_s, self.deliver_arrival, 0)
        if self.fault and self.fault.kind == "pause":
            self.schedule_at(
                self.fault.at_s + self.fault.for_s, self.resume_entry
            )
        self.run_until(until_s)

    def run_until(self, until_s: float) -> None:
        """Process all events that are due by a virtual time."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _, action, args = heappop(self.events)
            self.clock.now_s = at_s
            action(*args)

    # Faults.

    def is_down(self, entry: int) -> bool:
        """Return whether an entry is paused or dead."""
        fault = self.fault
        if fault is None or fault.entry != entry:
            return False
        now_s = self.clock.now_s
        if now_s < fault.at_s:
            return False
        return fault.kind == "death" or now_s < fault.at_s + fault.for_s

    def live_entries(self) -> list[int]:
        """Return the entries that are not detected as failed.

        A failed entry counts as live until ``peers.dead_s`` has passed.
        """
        fault = self.fault
        entries = list(range(self.deployment.entries))
        if fault and self.is_down(fault.entry):
            silent_s = self.clock.now_s - fault.at_s
            if silent_s > self.settings.peers.dead_s:
                entries.remove(fault.entry)
        return entries

    def call_at_entry(self, entry: int, action: Callable, *args) -> None:
        """Call an action at an entry; a pause delays it, death drops it."""
        if not self.is_down(entry):
            action(*args)
        elif self.fault.kind == "pause":
            self.paused_calls.append((action, args))

    def resume_entry(self) -> None:
        """Run the calls delayed by a pause, in order."""
        stalled, self.paused_calls = self.paused_calls, []
        for action, args in stalled:
            action(*args)

    # Requests.

    def deliver_arrival(self, number: int) -> None:
        """Schedule the next arrival and deliver this one to an entry."""
        if number + 1 < len(self.trace):
            self.schedule_at(
                self.trace[number + 1].at_s, self.deliver_arrival, number + 1
            )
        request = self.trace[number]
        entry = request.entry
        if self.is_down(entry):
            seen = self.clock.now_s > self.fault.at_s + HEALTH_POLL_S
            if seen or self.fault.kind == "death":
                entry = (entry + 1 + number) % self.deployment.entries
                if entry == request.entry:
                    entry = (entry + 1) % self.deployment.entries
                request = request._replace(entry=entry)
                self.outcomes[number].entry = entry
        self.call_at_entry(entry, self.policy.arrive, request)

    def endpoint_latency_s(self, entry: int, endpoint: int) -> float:
        """Return the latency between an entry and an endpoint."""
        centres = self.deployment.centres
        near = entry % centres == endpoint % centres
        return self.deployment.near_s if near else self.deployment.delay_s

    def send_to_endpoint(
        self, request: Request, endpoint: int, with_latency=True
    ) -> None:
        """Send a request to an endpoint of its pool."""
        latency_s = (
            self.endpoint_latency_s(request.entry, endpoint)
            if with_latency
            else 0.0
        )
        if latency_s:
            self.schedule_after(
                latency_s, self.run_or_queue, request, endpoint, with_latency
            )
        else:
            self.run_or_queue(request, endpoint, with_latency)

    def run_or_queue(
        self, request: Request, endpoint: int, with_latency: bool
    ) -> None:
        """Run a request, or queue it if all slots are in use."""
        simulated = self.endpoints[request.pool][endpoint]
        if simulated.running >= self.deployment.slots:
            simulated.queue.append(request)
            return
        simulated.running += 1
        self.outcomes[request.number].start_s = self.clock.now_s
        self.schedule_after(
            request.run_s, self.end_request, request, endpoint, with_latency
        )

    def end_request(
        self, request: Request, endpoint: int, with_latency: bool
    ) -> None:
        """Free the slot, notify the entry and run the next request."""
        simulated = self.endpoints[request.pool][endpoint]
        simulated.running -= 1
        self.outcomes[request.number].end_s = self.clock.now_s
        if with_latency:
            self.schedule_after(
                self.endpoint_latency_s(request.entry, endpoint),
                self.call_at_entry,
                request.entry,
                self.policy.finished,
                request,
                endpoint,
            )
        else:
            self.policy.finished(request, endpoint)
        if simulated.queue and simulated.running < self.deployment.slots:
            self.run_or_queue(
                simulated.queue.popleft(), endpoint, with_latency
            )

    def record_refusal(self, request: Request) -> None:
        """Record that a request was refused."""
        self.outcomes[request.number].refused_s = self.clock.now_s

    # Network.

    def send(
        self, source: int, target: int, size_bytes: int, action, *args
    ) -> None:
        """Deliver a message after the latency between two entries."""
        self.sent_bytes[source] += size_bytes + ZMTP_BYTES + HEADER_BYTES
        self.sent_count[source] += 1
        centres = self.deployment.centres
        near = source % centres == target % centres
        delay_s = self.deployment.near_s if near else self.deployment.delay_s
        self.schedule_after(delay_s, self.call_at_entry, target, action, *args)


def heartbeat_bytes_per_s(deployment: Deployment, settings: Settings) -> float:
    """Return the bytes of heartbeats that an entry sends each second.

    The rate is the same for all policies and is included in their results.
    """
    heartbeat = Heartbeat(
        "entry-1", 1_800_000_000, "10.0.0.1:7000", "dc-1", 10**6, 10**4,
        10**6, True, 2**47,
    )  # fmt: skip
    size_bytes = len(encode_frame(heartbeat)) + ZMTP_BYTES + HEADER_BYTES
    peers = deployment.entries - 1
    return size_bytes * peers / settings.peers.heartbeat_s
