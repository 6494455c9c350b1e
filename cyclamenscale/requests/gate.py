"""The gate of an entry: what it admits, and the count in progress."""

from collections import Counter
from math import ceil
from threading import Condition

from cyclamenscale.errors import NotRunError
from cyclamenscale.model import ConfigView, RequestClass
from cyclamenscale.requests.outliers import PoolHealth
from cyclamenscale.settings import Settings

# The burst of one pool, five times its mean load, must leave threads for
# the callers of the other pools.
POOL_THREADS_SHARE = 0.75

# The last threads are for the most urgent class of each pool.
URGENT_THREADS_SHARE = 0.125

# Requests in progress per usable slot of this entry's share, above which a
# pool that lost a whole domain sheds work.
SHED_PER_SLOT = 2

# When to come back after a refusal that no queue estimate stands behind.
RETRY_AFTER_S = 1.0


class Gate:
    """Counts the requests in progress and refuses those over the bounds.

    :param settings: the whole settings.
    """

    def __init__(self, settings: Settings):
        """Start open."""
        self.threads = settings.callers.threads
        # Guards in_progress, by_class, by_endpoint, closing.
        self.changed = Condition()
        self.in_progress = 0
        self.by_class: Counter[str] = Counter()
        self.by_endpoint: Counter[str] = Counter()
        self.closing = False

    def hold(self, endpoint: str) -> None:
        """Count a request that may be sent to an endpoint."""
        with self.changed:
            self.by_endpoint[endpoint] += 1

    def let_go(self, endpoint: str) -> None:
        """Count the end of a request at an endpoint."""
        with self.changed:
            self.by_endpoint[endpoint] -= 1
            if not self.by_endpoint[endpoint]:
                # Names of replaced instances must not pile up.
                del self.by_endpoint[endpoint]

    def at_endpoint(self, endpoint: str) -> int:
        """Return the count of an endpoint."""
        with self.changed:
            return self.by_endpoint.get(endpoint, 0)

    def enter(self) -> None:
        """Count a request from its arrival, admitted or not."""
        with self.changed:
            self.in_progress += 1

    def leave(self, class_name: str) -> None:
        """Count the end of a request.

        :param class_name: the class it was admitted to, empty for none.
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
            self.closing = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait for the end of the requests in progress.

        :returns: whether all of them ended.
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
            if self.closing:
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
        pool: list[RequestClass],
        view: ConfigView,
    ) -> None:
        """Refuse what would take the threads of others (locked)."""
        held = sum(self.by_class[other.name] for other in pool)
        several = len({c.pool for c in view.classes.values()}) > 1
        if several and held >= ceil(self.threads * POOL_THREADS_SHARE):
            raise NotRunError(
                "pool_busy",
                f"pool {request_class.pool} holds {held} of the "
                f"{self.threads} threads of this entry",
                RETRY_AFTER_S,
            )
        target_ms = request_class.finish_within_ms
        urgent = all(target_ms <= c.finish_within_ms for c in pool)
        kept = self.threads * URGENT_THREADS_SHARE
        if not urgent and self.in_progress > self.threads - kept:
            raise NotRunError(
                "entry_busy",
                "the last threads of this entry are for urgent classes",
                RETRY_AFTER_S,
            )

    def check_shed(
        self,
        request_class: RequestClass,
        pool: list[RequestClass],
        limit: int,
    ) -> None:
        """Shed a class that the rest of the pool can't carry (locked).

        A class is admitted while the requests of its own and of more urgent
        classes fit, so the least urgent class is shed first.
        """
        target_ms = request_class.finish_within_ms
        ahead = sum(
            self.by_class[other.name]
            for other in pool
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
        """Return how many requests of the pool this entry may hold.

        :returns: None while no whole domain of the pool has failed.
        """
        if not health.failed_domains(now_s):
            return None
        slots = sum(health.usable(now_s).values())
        entries = max(1, len(view.members.members))
        return max(1, ceil(slots * SHED_PER_SLOT / entries))
