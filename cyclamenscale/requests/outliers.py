"""Health of the endpoints of a pool; no I/O, the time is an argument.

An endpoint that is *leaving* is always excluded, because it must get no new
work. An endpoint that *fails* is excluded for a time that doubles with each
repetition, but only while the share of the pool that is excluded for failures
stays within ``outliers.max_excluded_share``: when most of a pool seems to
fail, a shared cause is more likely, and the few remaining endpoints could not
carry the load.
"""

from collections import deque
from math import ceil
from threading import Lock
from typing import NamedTuple

from cyclamenscale.model import Endpoint
from cyclamenscale.settings import OutliersSettings

#: Sources of a signal.
SIGNAL_SOURCES = ("record", "list", "refusal", "probe", "peer", "call")

# Number of latest results over which the failure rate is computed. With fewer
# results it is not used: one failure in two calls would be a rate of a half.
FAILURE_RATE_WINDOW = 20
FAILURE_RATE_LIMIT = 0.5

# Exclusions last up to 2 ** 6 times the first, 640 s by default.
MAX_DOUBLINGS = 6

# A refusal or a peer signals that an endpoint is leaving before the platform's
# list shows it. If the list still shows it in service after this time, which
# is far longer than the list's lag, it was replaced between two polls.
LEAVING_TIMEOUT_S = 300.0

# In a domain with one endpoint, a failure of the domain cannot be
# distinguished from a failure of the endpoint.
MIN_DOMAIN_ENDPOINTS = 2


class HealthSignal(NamedTuple):
    """A change of an endpoint's state to be sent to peers.

    :ivar endpoint: name of the instance.
    :ivar kind: ``leaving``, ``failed`` or ``back``, as in
        :class:`cyclamenscale.members.messages.EndpointSignal`.
    """

    endpoint: str
    kind: str


class EndpointState:
    """Health state of one endpoint.

    :param endpoint: the endpoint.
    """

    def __init__(self, endpoint: Endpoint):
        """Initialise as healthy, without a slow start."""
        self.endpoint = endpoint
        self.leaving: set[str] = set()
        self.leaving_signal_s = 0.0
        self.consecutive_failures = 0
        self.recent_results: deque[bool] = deque(maxlen=FAILURE_RATE_WINDOW)
        self.excluded_until_s: float | None = None
        self.exclusions = 0
        self.returned_s: float | None = None

    def excluded(self, now_s: float) -> bool:
        """Return whether it is excluded for failures."""
        until_s = self.excluded_until_s
        return until_s is not None and now_s < until_s


class PoolHealth:
    """Tracks which endpoints of a pool may get new work, on how many slots.

    :param pool: name of the pool.
    :param settings: the ``[outliers]`` section.
    """

    def __init__(self, pool: str, settings: OutliersSettings):
        """Initialise with no endpoints."""
        self.pool = pool
        self.settings = settings
        # Guards states, signals, blocked_exclusions.
        self.lock = Lock()
        self.states: dict[str, EndpointState] = {}
        self.signals: list[HealthSignal] = []
        self.blocked_exclusions = 0

    def update(self, endpoints: tuple[Endpoint, ...], now_s: float) -> None:
        """Apply the directory's list of endpoints.

        An endpoint that returns after it left starts slowly, and the state
        of one that is no longer in the directory is deleted.

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
        """Record a signal that an endpoint is leaving.

        :param name: the endpoint.
        :param source: one of ``SIGNAL_SOURCES``.
        :param now_s: monotonic seconds.
        :returns: whether it was the first signal.
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
        """Record a signal that an endpoint is in service again.

        A source that observes the endpoint's own state (record, list, probe)
        clears all signals; a peer's signal clears only those of peers,
        because the peer may lag.

        :returns: whether the endpoint is back in service.
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
        """Record a complete response that is not a server error."""
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
                # The slow start has ended, so the endpoint has carried its
                # full load.
                if all(state.recent_results):
                    state.exclusions = 0

    def record_failure(self, name: str, source: str, now_s: float) -> bool:
        """Record a failed call, a server error, or a failed probe.

        :param name: the endpoint.
        :param source: one of ``SIGNAL_SOURCES``; a peer's signal counts as
            one failure, so that a single peer with a bad link does not
            exclude the endpoint.
        :param now_s: monotonic seconds.
        :returns: whether this failure excludes the endpoint.
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
        """Return whether one more exclusion is within the bound (locked)."""
        in_service = [s for s in self.states.values() if not s.leaving]
        excluded = sum(s.excluded(now_s) for s in in_service)
        # Rounded up so that a small pool can exclude one endpoint, but
        # never the last one.
        bound = ceil(self.settings.max_excluded_share * len(in_service))
        return excluded + 1 <= min(bound, len(in_service) - 1)

    def usable(self, now_s: float) -> dict[str, int]:
        """Return the number of slots each endpoint may use for new work.

        :param now_s: monotonic seconds.
        :returns: slots by name of the endpoint, without endpoints that may
            get no new work. After a return the slots grow linearly from one
            to all within ``outliers.slow_start_s``.
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
        """Return whether an endpoint may get new work now."""
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
        """Return the failure domains in which every endpoint fails.

        An endpoint counts as failing if it is excluded, or would be without
        the bound on exclusions. A domain that contains the whole pool is not
        reported, because then the whole pool has failed.

        :param now_s: monotonic seconds.
        :returns: domains as ``DATA_CENTRE`` or ``DATA_CENTRE/RACK``; the
            racks of a reported data centre are left out.
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
        """Return the signals for peers since the last call, and clear them."""
        with self.lock:
            signals, self.signals = self.signals, []
            return signals


class PoolsHealth:
    """Endpoint health of all pools.

    :param settings: the ``[outliers]`` section.
    """

    def __init__(self, settings: OutliersSettings):
        """Initialise with no pools."""
        self.settings = settings
        #: Replaced as a whole on each update.
        self.pools: dict[str, PoolHealth] = {}

    def update(
        self, by_pool: dict[str, tuple[Endpoint, ...]], now_s: float
    ) -> None:
        """Apply the directory's endpoints; call from one thread at a time."""
        pools = {}
        for name, endpoints in by_pool.items():
            health = self.pools.get(name)
            pools[name] = health or PoolHealth(name, self.settings)
            pools[name].update(endpoints, now_s)
        self.pools = pools

    def pool(self, name: str) -> PoolHealth:
        """Return the health of a pool, or an empty one for an unknown pool."""
        health = self.pools.get(name)
        return health or PoolHealth(name, self.settings)

    def find_by_endpoint(self, endpoint: str) -> PoolHealth | None:
        """Return the health of the pool that has an endpoint, or None."""
        for health in self.pools.values():
            if endpoint in health.states:
                return health
        return None

    def take_signals(self) -> list[HealthSignal]:
        """Return the signals for peers since the last call, and clear them."""
        return [
            signal
            for health in self.pools.values()
            for signal in health.take_signals()
        ]
