"""Changes of the member list, one name at a time.

Before the names change, a majority of the current list has acknowledged
the current list, so that majorities of consecutive lists intersect. A
member that may still be running is removed in two steps. It is first marked
as leaving, which ends its admission of work or its freshness, and its name
is taken out once that is in force; a later change then need not wait for
an entry that the list no longer shows.

A replacement under the same name votes at once. The platform must have ended
the old process before: it and a member that is cut off from the others could
otherwise confirm each other's old state for as long as they do not reach the
store, while the replacement acknowledges newer revisions under the same name.
"""

import secrets
import time
from collections.abc import Callable
from threading import Event

from loguru import logger

from cyclamenscale.configuration.operations import (
    AcceptedChange,
    Operations,
    revision_of,
)
from cyclamenscale.errors import (
    ConflictError,
    NotAcceptedError,
    NotFoundError,
    OutcomeUnknownError,
    StoreAnswerLostError,
    StoreError,
)
from cyclamenscale.members.freshness import Freshness, find_member
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CHANGE_PREFIX,
    MEMBERS_KEY,
    ChangeRecord,
    MemberList,
    MemberRecord,
)
from cyclamenscale.requests.limits import backoff_s
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, KeyValue, Put, Store
from cyclamenscale.util.codec import decode_record, encode_record

#: Tries of one change that loses races against other members' changes.
TRIES = 16

#: How often the own record is compared with the list.
CHECK_S = 1.0

Edit = Callable[[MemberList], MemberList]


class Members:
    """This entry's place in the member list, and removals of others.

    :param settings: the whole settings.
    :param operations: store, configuration and barriers of this entry.
    :param freshness: gets the incarnation.
    :param metrics: counters.
    """

    def __init__(
        self,
        settings: Settings,
        operations: Operations,
        freshness: Freshness,
        metrics: Metrics,
    ):
        """Prepare; nothing is written before :meth:`join`."""
        self.settings = settings
        self.name = settings.entry.name
        self.operations = operations
        self.store: Store = operations.store
        self.barriers = operations.barriers
        self.clock = operations.clock
        self.freshness = freshness
        self.metrics = metrics
        self.joined = False

    def run(self, stop: Event, address: str) -> None:
        """Join the list, and keep the own record up to date.

        :param stop: ends the loop.
        :param address: ``host:port`` of the peer link.
        """
        failures = 0
        while not stop.is_set():
            wait_s = CHECK_S
            try:
                if not self.joined:
                    self.join(address)
                failures = 0
            except (
                StoreError,
                NotAcceptedError,
                ConflictError,
                OutcomeUnknownError,
            ) as error:
                failures += 1
                self.metrics.incr("members.join_failures")
                if failures == 1:
                    logger.warning("cannot join the member list: {}", error)
                wait_s = backoff_s(
                    self.settings.limits, failures, self.operations.random
                )
            stop.wait(wait_s)

    def join(self, address: str) -> int:
        """Put the own record into the list; return the list's revision.

        :param address: ``host:port`` of the peer link.
        :raises NotAcceptedError: if the members do not acknowledge.
        :raises StoreError: if the store fails.
        """

        def edit(members: MemberList) -> MemberList:
            old = find_member(members, self.name)
            if old and old.incarnation > self.freshness.incarnation:
                raise ConflictError(
                    MEMBERS_KEY, self.freshness.incarnation, old, 0
                )
            record = MemberRecord(
                self.name,
                self.freshness.incarnation,
                address,
                self.settings.entry.data_centre,
            )
            return with_member(members, self.name, record)

        revision = self.edit(edit, self.name, "start")
        self.joined = True
        return revision

    def leave(self) -> int:
        """Stop admitting work, and take the own record out of the list.

        :raises NotAcceptedError: if the members do not acknowledge; the
            place in the list then stays reserved.
        :raises StoreError: if the store fails.
        """
        self.freshness.close()
        return self.edit(
            lambda members: with_member(members, self.name, None),
            self.name,
            "graceful stop",
        )

    def remove(
        self, name: str, who: str, why: str, force: bool = False
    ) -> AcceptedChange:
        """Remove a member that does not run any more.

        :param name: the member.
        :param who: the operator.
        :param why: the operator's reason.
        :param force: go on without a majority, if the majority of the
            names is lost for good. Unsafe if any of those still runs.
        :raises NotFoundError: if the name is not in the list.
        :raises NotAcceptedError: if the members do not acknowledge.
        :raises ConflictError: if the name is taken over in the meantime.
        :raises OutcomeUnknownError: if the list is not in force in time.
        """
        started_s = self.clock()
        change_id = secrets.token_hex(8)
        try:
            marked = self.mark(name, who, why)
            self.settle(marked, change_id, force)
            revision = self.edit(
                lambda members: self.without(members, name),
                who,
                why,
                change_id,
                force,
            )
            self.settle(revision, change_id, force)
        except StoreError as error:
            # Both steps may be repeated.
            raise NotAcceptedError(change_id, str(error)) from error
        return AcceptedChange(change_id, revision, self.clock() - started_s)

    def mark(self, name: str, who: str, why: str) -> int:
        """Mark a member as leaving; return the list's revision."""

        def edit(members: MemberList) -> MemberList:
            old = find_member(members, name)
            if old is None:
                raise NotFoundError("member", name)
            return with_member(members, name, old._replace(leaving=True))

        return self.edit(edit, who, why)

    def without(self, members: MemberList, name: str) -> MemberList:
        """Take a name out, unless a replacement has taken it over."""
        old = find_member(members, name)
        if old is not None and not old.leaving:
            raise ConflictError(MEMBERS_KEY, None, old, 0)
        return with_member(members, name, None)

    def settle(self, revision: int, change_id: str, force: bool) -> None:
        """Wait until a list is in force, or as long as that may take."""
        try:
            self.barriers.require(revision, self.clock(), change_id)
        except OutcomeUnknownError:
            if not force:
                raise
            self.metrics.incr("members.forced")

    def edit(
        self,
        edit: Edit,
        who: str,
        why: str,
        change_id: str | None = None,
        force: bool = False,
    ) -> int:
        """Change the list by compare-and-swap.

        A lost answer leads to another read, which shows the list as wanted
        if the write was made.

        :returns: the revision of the list.
        """
        change_id = change_id or secrets.token_hex(8)
        for _ in range(TRIES):
            _, item = self.store.get(MEMBERS_KEY)
            old = MemberList()
            if item is not None:
                old = decode_record(item.value, MemberList, MEMBERS_KEY)
            new = edit(old)
            if new == old:
                return revision_of(item)
            if names(new) != names(old) and old.members and not force:
                self.confirm(item, change_id)
            revision = self.commit(item, new, change_id, who, why)
            if revision:
                return revision
            self.metrics.incr("members.races")
        raise NotAcceptedError(
            change_id, "the member list changes all the time"
        )

    def confirm(self, item: KeyValue, change_id: str) -> None:
        """Wait until a majority has acknowledged the current list.

        :raises NotAcceptedError: if it does not in time.
        """
        if not self.barriers.majority(item.mod_revision, self.clock()):
            raise NotAcceptedError(
                change_id,
                f"no majority of the member list of revision "
                f"{item.mod_revision} has acknowledged it",
            )

    def commit(
        self,
        item: KeyValue | None,
        new: MemberList,
        change_id: str,
        who: str,
        why: str,
    ) -> int:
        """Write the list; return its revision, 0 to read it again."""
        value = encode_record(new)
        record = ChangeRecord(
            change_id,
            who,
            MEMBERS_KEY,
            why,
            self.operations.wall_clock(),
            item.value.decode() if item else "",
            value.decode(),
        )
        lease = self.operations.daily_lease()
        record_put = Put(
            CHANGE_PREFIX + change_id, encode_record(record), lease
        )
        try:
            result = self.store.txn(
                [Compare(MEMBERS_KEY, revision_of(item))],
                [Put(MEMBERS_KEY, value), record_put],
            )
        except StoreAnswerLostError:
            self.metrics.incr("operations.answers_lost")
            return 0
        return result.revision if result.succeeded else 0


def choose_incarnation(
    store: Store,
    name: str,
    wall_clock: Callable[[], float] = time.time,
) -> int:
    """Return an incarnation above those that this name had before.

    It is one more than the one in the member list. Without one, or with the
    store down, it is the time in seconds, which is above it too, as an
    entry is not started more than once in a second.

    :param store: the store port.
    :param name: the entry's name.
    :param wall_clock: seconds since the epoch.
    """
    try:
        _, item = store.get(MEMBERS_KEY)
    except StoreError:
        return int(wall_clock())
    if item is not None:
        members = decode_record(item.value, MemberList, MEMBERS_KEY)
        old = find_member(members, name)
        if old is not None:
            return old.incarnation + 1
    return int(wall_clock())


def names(members: MemberList) -> set[str]:
    """Return the names in a list."""
    return {member.name for member in members.members}


def with_member(
    members: MemberList, name: str, record: MemberRecord | None
) -> MemberList:
    """Return a list with one record replaced, or without it."""
    others = [member for member in members.members if member.name != name]
    if record is not None:
        others.append(record)
    return MemberList(tuple(sorted(others)))
