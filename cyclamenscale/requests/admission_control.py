"""Admission control of an entry, and its counts of requests in progress."""

from collections import Counter
from math import ceil
from threading import Condition

from cyclamenscale.errors import NotRunError
from cyclamenscale.model import ConfigView, RequestClass
from cyclamenscale.requests.outliers import PoolHealth
from cyclamenscale.settings import Settings

# Largest share of the threads for one pool. A burst of five times a pool's
# mean load must leave threads for the callers of the other pools.
POOL_THREADS_SHARE = 0.75

# Share of the threads reserved for the most urgent class of each pool.
URGENT_THREADS_SHARE = 0.125

# Requests in progress per usable slot of this entry's share, above which a
# pool that lost a whole failure domain sheds load.
SHED_PER_SLOT = 2

# Retry-After of refusals for which there is no estimate from a queue.
RETRY_AFTER_S = 1.0


class AdmissionControl:
    """Counts the requests in progress and refuses those over the limits.

    :param settings: settings of the entry.
    """

    def __init__(self, settings: Settings):
        """Initialise with no requests in progress."""
        self.threads = settings.callers.threads
        # Guards in_progress, by_class, by_endpoint, shutting_down.
        self.changed = Condition()
        self.in_progress = 0
        self.by_class: Counter[str] = Counter()
        self.by_endpoint: Counter[str] = Counter()
        self.shutting_down = False

    def begin_call(self, endpoint: str) -> None:
        """Count a request that may be sent to an endpoint."""
        with self.changed:
            self.by_endpoint[endpoint] += 1

    def end_call(self, endpoint: str) -> None:
        """Stop counting a request at an endpoint."""
        with self.changed:
            self.by_endpoint[endpoint] -= 1
            if not self.by_endpoint[endpoint]:
                # Names of replaced instances must not accumulate.
                del self.by_endpoint[endpoint]

    def calls_at(self, endpoint: str) -> int:
        """Return the number of requests counted at an endpoint."""
        with self.changed:
            return self.by_endpoint.get(endpoint, 0)

    def begin_request(self) -> None:
        """Count a request from its arrival, admitted or not."""
        with self.changed:
            self.in_progress += 1

    def end_request(self, class_name: str) -> None:
        """Stop counting a request.

        :param class_name: class it was admitted to, empty if it was refused.
        """
        with self.changed:
            self.in_progress -= 1
            if class_name:
                self.by_class[class_name] -= 1
                if not self.by_class[class_name]:
                    del self.by_class[class_name]
            self.changed.notify_all()

    def begin_shutdown(self) -> None:
        """Admit nothing from now on."""
        with self.changed:
            self.shutting_down = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress.

        :returns: False on a timeout.
        """
        with self.changed:
            return self.changed.wait_for(
                lambda: not self.in_progress, timeout_s
            )

    def admit(
        self,
        request_class: RequestClass,
        view: ConfigView,
        health: PoolHealth,
        now_s: float,
    ) -> None:
        """Admit a request, and count it for its class.

        :param request_class: class of the request.
        :param view: the applied configuration.
        :param health: health of the class's pool.
        :param now_s: monotonic seconds.
        :raises NotRunError: if the entry is shutting down or overloaded.
        """
        shed_limit = self.shed_limit(view, health, now_s)
        with self.changed:
            if self.shutting_down:
                raise NotRunError(
                    "shutting_down",
                    "this entry is shutting down",
                    RETRY_AFTER_S,
                )
            pool = [
                other
                for other in view.classes.values()
                if other.pool == request_class.pool
            ]
            self.check_threads(request_class, pool, view)
            if shed_limit is not None:
                self.check_shed(request_class, pool, shed_limit)
            self.by_class[request_class.name] += 1

    def check_threads(
        self,
        request_class: RequestClass,
        pool_classes: list[RequestClass],
        view: ConfigView,
    ) -> None:
        """Refuse a request over the thread shares; the caller has the lock."""
        in_use = sum(self.by_class[other.name] for other in pool_classes)
        several_pools = len({c.pool for c in view.classes.values()}) > 1
        if several_pools and in_use >= ceil(self.threads * POOL_THREADS_SHARE):
            raise NotRunError(
                "pool_busy",
                f"pool {request_class.pool} holds {in_use} of the "
                f"{self.threads} threads of this entry",
                RETRY_AFTER_S,
            )
        target_ms = request_class.finish_within_ms
        urgent = all(target_ms <= c.finish_within_ms for c in pool_classes)
        reserved = self.threads * URGENT_THREADS_SHARE
        if not urgent and self.in_progress > self.threads - reserved:
            raise NotRunError(
                "entry_busy",
                "the last threads of this entry are for urgent classes",
                RETRY_AFTER_S,
            )

    def check_shed(
        self,
        request_class: RequestClass,
        pool_classes: list[RequestClass],
        limit: int,
    ) -> None:
        """Shed a class over the remaining capacity; the caller has the lock.

        A class is admitted while the requests of its own and of more urgent
        classes fit, so the least urgent class is shed first.
        """
        target_ms = request_class.finish_within_ms
        ahead = sum(
            self.by_class[other.name]
            for other in pool_classes
            if other.finish_within_ms <= target_ms
        )
        if ahead >= limit:
            raise NotRunError(
                "shed",
                f"pool {request_class.pool} lost a failure domain; class "
                f"{request_class.name} is shed",
                RETRY_AFTER_S,
            )

    def shed_limit(
        self, view: ConfigView, health: PoolHealth, now_s: float
    ) -> int | None:
        """Return how many requests of the pool this entry may admit.

        :returns: None while no whole failure domain of the pool has failed.
        """
        if not health.failed_domains(now_s):
            return None
        slots = sum(health.usable(now_s).values())
        entries = max(1, len(view.members.members))
        return max(1, ceil(slots * SHED_PER_SLOT / entries))
