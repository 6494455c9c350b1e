"""Health of the endpoints of a pool; no I/O, clock as argument.

An endpoint that is *leaving* is excluded whatever the bound, because it must
get no new work. An endpoint that *fails* is excluded for a time that doubles
with each repetition, but only while the share of the pool that is excluded
for failures stays under ``outliers.max_excluded_share``: when most of a pool
seems to fail, the cause is likelier to be shared, and the few endpoints that
are left could not carry the load.
"""

from collections import deque
from math import ceil
from threading import Lock
from typing import NamedTuple

from cyclamenscale.model import Endpoint
from cyclamenscale.settings import OutliersSettings

#: Sources of a sign.
SIGNAL_SOURCES = ("record", "list", "refusal", "probe", "peer", "call")

# A failure rate is judged over this many of the latest answers, once so many
# are known; below it, one failure of two calls would look like half.
FAILURE_RATE_WINDOW = 20
FAILURE_RATE_LIMIT = 0.5

# The exclusion time doubles up to 2 ** 6, 640 s with the default settings.
MAX_DOUBLINGS = 6

# A refusal or a peer says that an endpoint is leaving before the platform's
# list shows it. If the list still shows it in service after this time, which
# is far beyond the list's lag, it was replaced between two readings.
LEAVING_TIMEOUT_S = 300.0

# A domain with one endpoint cannot be told from a failed endpoint.
MIN_DOMAIN_ENDPOINTS = 2


class HealthSignal(NamedTuple):
    """A change of state that peers should hear of.

    :ivar endpoint: name of the instance.
    :ivar sign: ``leaving``, ``failed`` or ``back``, as in
        :class:`cyclamenscale.members.messages.EndpointSign`.
    """

    endpoint: str
    kind: str


class EndpointState:
    """What is known of one endpoint.

    :param endpoint: the endpoint.
    """

    def __init__(self, endpoint: Endpoint):
        """Start healthy, without a slow start."""
        self.endpoint = endpoint
        self.leaving: set[str] = set()
        self.leaving_signal_s = 0.0
        self.consecutive_failures = 0
        self.recent_results: deque[bool] = deque(maxlen=FAILURE_RATE_WINDOW)
        self.excluded_until_s: float | None = None
        self.exclusions = 0
        self.returned_s: float | None = None

    def excluded(self, now_s: float) -> bool:
        """Return whether failures exclude it."""
        until_s = self.excluded_until_s
        return until_s is not None and now_s < until_s


class PoolHealth:
    """Which endpoints of one pool may get new work, and on how many slots.

    :param pool: name of the pool.
    :param settings: ``[outliers]``.
    """

    def __init__(self, pool: str, settings: OutliersSettings):
        """Start without endpoints."""
        self.pool = pool
        self.settings = settings
        # Guards states, signs, bound_hits.
        self.lock = Lock()
        self.states: dict[str, EndpointState] = {}
        self.signals: list[HealthSignal] = []
        self.blocked_exclusions = 0

    def update(self, endpoints: tuple[Endpoint, ...], now_s: float) -> None:
        """Take the endpoints of the directory.

        An endpoint that comes back after it left starts slowly, and one that
        is gone from the directory is forgotten.

        :param endpoints: the pool's endpoints that may get new work.
        :param now_s: monotonic seconds.
        """
        with self.lock:
            names = set()
            initial = not self.states
            for endpoint in endpoints:
                names.add(endpoint.name)
                state = self.states.get(endpoint.name)
                if state is None:
                    state = self.states[endpoint.name] = EndpointState(
                        endpoint
                    )
                    if not initial:
                        state.returned_s = now_s
                state.endpoint = endpoint
                if (
                    state.leaving
                    and now_s - state.leaving_signal_s >= LEAVING_TIMEOUT_S
                ):
                    state.leaving.clear()
                    state.returned_s = now_s
            for name in list(self.states):
                if name not in names:
                    del self.states[name]

    def record_leaving(self, name: str, source: str, now_s: float) -> bool:
        """Take a sign that an endpoint is leaving.

        :param name: the endpoint.
        :param source: one of ``SOURCES``.
        :param now_s: monotonic seconds.
        :returns: whether it was the first sign.
        """
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return False
            first = not state.leaving
            state.leaving.add(source)
            state.leaving_signal_s = now_s
            if first and source != "peer":
                self.signals.append(HealthSignal(name, "leaving"))
            return first

    def record_return(self, name: str, source: str, now_s: float) -> bool:
        """Take a sign that an endpoint is in service again.

        Only a source that knows the endpoint's own state (record, list,
        probe) takes signs back, and it takes back all of them; a peer's sign
        ends only its own, because the peer may lag.

        :returns: whether the endpoint is back.
        """
        with self.lock:
            state = self.states.get(name)
            if state is None or not state.leaving:
                return False
            if source == "peer":
                state.leaving.discard("peer")
            else:
                state.leaving.clear()
            if state.leaving:
                return False
            state.returned_s = now_s
            state.consecutive_failures = 0
            state.recent_results.clear()
            if source != "peer":
                self.signals.append(HealthSignal(name, "back"))
            return True

    def record_success(self, name: str, now_s: float) -> None:
        """Take a complete answer that is no server error."""
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return
            state.consecutive_failures = 0
            state.recent_results.append(True)
            until_s = state.excluded_until_s
            if until_s is not None and now_s >= until_s:
                state.excluded_until_s = None
            returned_s = state.returned_s
            slow_s = self.settings.slow_start_s
            if returned_s is None or now_s - returned_s >= slow_s:
                # It has carried its whole load again.
                if all(state.recent_results):
                    state.exclusions = 0

    def record_failure(self, name: str, source: str, now_s: float) -> bool:
        """Take a failed call, a server error, or a failed probe.

        :param name: the endpoint.
        :param source: one of ``SOURCES``; a peer's sign counts as one
            failure, so that one peer with a bad link excludes nothing.
        :param now_s: monotonic seconds.
        :returns: whether the endpoint is excluded by this sign.
        """
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return False
            state.consecutive_failures += 1
            state.recent_results.append(False)
            if state.excluded(now_s):
                return False
            full = len(state.recent_results) == FAILURE_RATE_WINDOW
            rate = state.recent_results.count(False) / len(
                state.recent_results
            )
            limit = self.settings.consecutive_failures
            if state.consecutive_failures < limit and not (
                full and rate > FAILURE_RATE_LIMIT
            ):
                return False
            if not self.may_exclude(now_s):
                self.blocked_exclusions += 1
                return False
            doublings = min(state.exclusions, MAX_DOUBLINGS)
            state.exclusions += 1
            until_s = now_s + self.settings.exclude_s * 2**doublings
            state.excluded_until_s = until_s
            state.returned_s = until_s
            state.consecutive_failures = 0
            state.recent_results.clear()
            if source != "peer":
                self.signals.append(HealthSignal(name, "failed"))
            return True

    def may_exclude(self, now_s: float) -> bool:
        """Return whether the bound allows one more exclusion (locked)."""
        in_service = [s for s in self.states.values() if not s.leaving]
        excluded = sum(s.excluded(now_s) for s in in_service)
        # Rounded up so that a small pool can exclude one endpoint, but
        # never the last one.
        bound = ceil(self.settings.max_excluded_share * len(in_service))
        return excluded + 1 <= min(bound, len(in_service) - 1)

    def usable(self, now_s: float) -> dict[str, int]:
        """Return the slots on which each endpoint may get new work.

        :param now_s: monotonic seconds.
        :returns: slots by name of the endpoint; endpoints without any are
            left out. After a return the slots grow linearly from one to all
            within ``outliers.slow_start_s``.
        """
        with self.lock:
            slots = {}
            for name, state in self.states.items():
                if state.leaving or state.excluded(now_s):
                    continue
                total = state.endpoint.slots
                slots[name] = total
                if state.returned_s is not None:
                    elapsed_s = now_s - state.returned_s
                    share = elapsed_s / self.settings.slow_start_s
                    if share < 1.0:
                        slots[name] = max(1, int(total * share))
            return slots

    def may_send(self, name: str, now_s: float) -> bool:
        """Return whether an endpoint may get new work at this moment."""
        with self.lock:
            state = self.states.get(name)
            if state is None or state.leaving:
                return False
            return not state.excluded(now_s)

    def capacity_share(self, now_s: float) -> float:
        """Return the usable share of the pool's slots, 0 to 1."""
        usable = sum(self.usable(now_s).values())
        with self.lock:
            total = sum(s.endpoint.slots for s in self.states.values())
        return usable / total if total else 0.0

    def failed_domains(self, now_s: float) -> list[str]:
        """Return the domains of which every endpoint fails.

        An endpoint fails here if it is excluded, or would be but for the
        bound on exclusions. A domain that holds the whole pool is not
        reported, because then the pool has failed and no part of it.

        :param now_s: monotonic seconds.
        :returns: ``DATA_CENTRE`` or ``DATA_CENTRE/RACK``, a data centre
            without its racks.
        """
        limit = self.settings.consecutive_failures
        with self.lock:
            in_service = [s for s in self.states.values() if not s.leaving]
            domains: dict[str, list[bool]] = {}
            for state in in_service:
                failing = (
                    state.excluded(now_s)
                    or state.consecutive_failures >= limit
                )
                centre = state.endpoint.data_centre
                for domain in (centre, f"{centre}/{state.endpoint.rack}"):
                    domains.setdefault(domain, []).append(failing)
        failed = [
            domain
            for domain, failing in domains.items()
            if MIN_DOMAIN_ENDPOINTS <= len(failing) < len(in_service)
            and all(failing)
        ]
        return sorted(
            domain
            for domain in failed
            if "/" not in domain or domain.split("/")[0] not in failed
        )

    def take_signals(self) -> list[HealthSignal]:
        """Return the signs for peers since the last call."""
        with self.lock:
            signs, self.signals = self.signals, []
            return signs


class PoolsHealth:
    """The health of all pools.

    :param settings: ``[outliers]``.
    """

    def __init__(self, settings: OutliersSettings):
        """Start without pools."""
        self.settings = settings
        #: Replaced as a whole.
        self.pools: dict[str, PoolHealth] = {}

    def update(
        self, by_pool: dict[str, tuple[Endpoint, ...]], now_s: float
    ) -> None:
        """Take the endpoints of the directory; from one thread at a time."""
        pools = {}
        for name, endpoints in by_pool.items():
            health = self.pools.get(name)
            pools[name] = health or PoolHealth(name, self.settings)
            pools[name].update(endpoints, now_s)
        self.pools = pools

    def pool(self, name: str) -> PoolHealth:
        """Return the health of a pool, an empty one if it is unknown."""
        health = self.pools.get(name)
        return health or PoolHealth(name, self.settings)

    def find_by_endpoint(self, endpoint: str) -> PoolHealth | None:
        """Return the health that knows an endpoint."""
        for health in self.pools.values():
            if endpoint in health.states:
                return health
        return None

    def take_signals(self) -> list[HealthSignal]:
        """Return the signs for peers since the last call."""
        return [
            signal
            for health in self.pools.values()
            for signal in health.take_signals()
        ]
