"""In-memory platform with instances that reboot and a delayed list.

Tests and benchmarks advance its clock. It records violations: a reboot while
requests are in progress, and an action that is executed twice.
"""

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
)
from cyclamenscale.fleet.ports import (
    InstanceStatus,
    Platform,
    PlatformInstance,
)
from cyclamenscale.util.clock import Clock


class MemoryInstance:
    """State of one instance."""

    def __init__(self, listed: PlatformInstance):
        """Initialise as running, with no requests in progress."""
        self.listed = listed
        self.in_progress = 0
        self.running_since_s = 0.0
        self.last_action = ""
        self.actions: list[str] = []
        self.cut_requests = 0


class MemoryPlatform(Platform):
    """In-memory implementation of the platform port.

    :param clock: time in seconds, for the list and the reboots.
    :param reboot_s: duration of a reboot.
    :param lag_s: delay until a change appears in the list.
    """

    def __init__(
        self, clock: Clock, reboot_s: float = 30.0, lag_s: float = 2.0
    ):
        """Initialise with no instances."""
        self.clock = clock
        self.reboot_s = reboot_s
        self.lag_s = lag_s
        self.instances: dict[str, MemoryInstance] = {}
        self.fences: dict[str, int] = {}
        self.snapshots: list[tuple[float, list[PlatformInstance]]] = []
        self.down = False
        self.lose_answers = 0
        #: Versions whose instances fail their health probe.
        self.bad_versions: set[str] = set()

    def add(self, listed: PlatformInstance) -> MemoryInstance:
        """Add a running instance."""
        self.instances[listed.name] = MemoryInstance(listed)
        return self.instances[listed.name]

    def running(self, name: str) -> bool:
        """Return whether an instance is running."""
        return self.clock() >= self.instances[name].running_since_s

    def healthy(self, name: str) -> bool:
        """Return whether an instance passes its health probe."""
        version = self.instances[name].listed.version
        return self.running(name) and version not in self.bad_versions

    def check_response(self, operation: str) -> None:
        """Fail after the call has taken effect if its response is lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise PlatformUnavailableError(operation, "answer lost")

    def check_available(self, operation: str) -> None:
        """Fail before the call takes effect if the platform is down."""
        if self.down:
            raise PlatformUnavailableError(operation, "down")

    def list_instances(self) -> list[PlatformInstance]:
        """Return the list as it was ``lag_s`` ago."""
        self.check_available("list_instances")
        now_s = self.clock()
        current = [each.listed for each in self.instances.values()]
        self.snapshots.append((now_s, current))
        while (
            len(self.snapshots) > 1
            and self.snapshots[1][0] <= now_s - self.lag_s
        ):
            self.snapshots.pop(0)
        return self.snapshots[0][1]

    def status(self, instance: str) -> InstanceStatus:
        """Return the state of one instance."""
        self.check_available("status")
        if instance not in self.instances:
            raise NotFoundError("instance", instance)
        found = self.instances[instance]
        return InstanceStatus(
            instance,
            self.running(instance),
            found.in_progress,
            found.listed.version,
            found.last_action if self.running(instance) else "",
        )

    def reboot(
        self, instance: str, version: str, action_id: str, fence: int
    ) -> None:
        """Reboot an instance, once for each action id."""
        self.check_available("reboot")
        pool = action_id.partition("/")[0]
        if fence < self.fences.get(pool, 0):
            raise StaleFenceError(pool, fence)
        self.fences[pool] = fence
        found = self.instances[instance]
        if action_id not in found.actions:
            found.actions.append(action_id)
            found.cut_requests += found.in_progress
            found.in_progress = 0
            found.last_action = action_id
            found.running_since_s = self.clock() + self.reboot_s
            if version:
                found.listed = found.listed._replace(version=version)
        self.check_response("reboot")
