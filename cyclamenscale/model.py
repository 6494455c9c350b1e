"""Configuration records, shared by all packages.

The store holds them as JSON, encoded by msgspec. They are immutable; a change
makes a new record.
"""

from typing import NamedTuple

CONFIG_PREFIX = "config/"
CHANGE_PREFIX = "change/"
CLASS_PREFIX = "config/class/"
POOL_PREFIX = "config/pool/"
INSTANCE_PREFIX = "config/instance/"
MEMBERS_KEY = "config/members"
CLAIM_PREFIX = "claim/"


class RequestClass(NamedTuple):
    """A class of requests, with its latency target and its outage target.

    :ivar name: unique name.
    :ivar pool: pool whose endpoints run the class.
    :ivar finish_within_ms: target, time within which a request must finish.
    :ivar max_out_share: target, largest share of the pool that may be out
        of service at once, 0 to 1.
    :ivar repeatable: whether a request may run more than once.
    """

    name: str
    pool: str
    finish_within_ms: int
    max_out_share: float
    repeatable: bool = True


class PoolRecord(NamedTuple):
    """A pool of instances.

    :ivar name: unique name.
    :ivar spare: whether this is the spare pool, which lends instances to
        the others.
    :ivar version: version its instances should reach, empty for none.
    """

    name: str
    spare: bool = False
    version: str = ""


class InstanceRecord(NamedTuple):
    """An instance (an executor with slots) and the one pool it belongs to.

    Its address, data centre, rack and slots come from the platform's list
    (:class:`cyclamenscale.fleet.ports.PlatformInstance`), never from
    operators.

    :ivar name: unique name, the same as in the platform's list.
    :ivar pool: pool it belongs to.
    :ivar state: ``live``, ``draining``, ``rebooting``, ``moving`` or
        ``failed``; only ``live`` instances get new work.
    :ivar maintained_s: end of its last planned outage, seconds since the
        epoch.
    """

    name: str
    pool: str
    state: str = "live"
    maintained_s: float = 0.0


class ChangeRecord(NamedTuple):
    """An accepted change of configuration, kept as audit trail.

    :ivar id: unique id of the change.
    :ivar who: operator who made it.
    :ivar what: store key that was changed.
    :ivar why: the operator's reason.
    :ivar when_s: time at the entry that accepted it, seconds since the
        epoch.
    :ivar old: JSON of the record before the change, empty if there was none.
    :ivar new: JSON of the record after the change, empty if it was removed.
    """

    id: str
    who: str
    what: str
    why: str
    when_s: float
    old: str
    new: str


class MemberRecord(NamedTuple):
    """One entry in the member list.

    :ivar name: name from the entry's settings.
    :ivar incarnation: number that increases with each start of the entry.
    :ivar address: ``host:port`` of its peer link.
    :ivar data_centre: data centre it runs in.
    :ivar leaving: whether an operator is removing it; it admits no more
        requests, but counts as a member until it is removed from the list.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str
    leaving: bool = False


class MemberList(NamedTuple):
    """The entries that take part in the barrier of each change.

    :ivar members: the entries, by name.
    """

    members: tuple[MemberRecord, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many members make a majority."""
        return len(self.members) // 2 + 1


class ConfigView(NamedTuple):
    """A consistent snapshot of the configuration; replaced as a whole.

    :ivar revision: highest store revision that has been applied.
    :ivar classes: request classes by name.
    :ivar pools: pools by name.
    :ivar instances: instances by name.
    :ivar members: the member list.
    :ivar members_revision: revision of the member list.
    """

    revision: int = 0
    classes: dict[str, RequestClass] = {}
    pools: dict[str, PoolRecord] = {}
    instances: dict[str, InstanceRecord] = {}
    members: MemberList = MemberList()
    members_revision: int = 0


class Endpoint(NamedTuple):
    """An instance to send requests to.

    It merges the instance record with the entry in the platform's list.

    :ivar name: name of the instance.
    :ivar pool: the one pool it belongs to.
    :ivar address: ``host:port``.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar slots: number of requests it runs at once.
    """

    name: str
    pool: str
    address: str
    data_centre: str
    rack: str
    slots: int = 8
