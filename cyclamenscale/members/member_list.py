"""Changes the member list, one name at a time.

Names are added or removed only after a majority of the current list has
acknowledged the current list, so that majorities of consecutive lists
intersect. A member that may still be running is removed in two steps. It is
first marked as leaving, which makes it stop admitting work or lose freshness,
and its name is removed once the mark is in force. Later changes then need not
wait for an entry that is no longer in the list.

A replacement under the same name counts towards majorities immediately. The
platform must have terminated the old process before: the old process and a
member that is partitioned from the others could otherwise confirm each other's
old state as long as they cannot reach the store, while the replacement
acknowledges newer revisions under the same name.
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

#: Attempts at one change that conflicts with changes by other members.
MAX_EDIT_ATTEMPTS = 16

#: Interval at which the loop checks whether this entry still has to join.
CHECK_INTERVAL_S = 1.0

MemberListEdit = Callable[[MemberList], MemberList]


class MemberListEditor:
    """Adds this entry to the member list and removes members from it.

    :param settings: settings of the entry.
    :param operations: store, configuration and barriers of this entry.
    :param freshness: freshness and incarnation of this entry.
    :param metrics: counters.
    """

    def __init__(
        self,
        settings: Settings,
        operations: Operations,
        freshness: Freshness,
        metrics: Metrics,
    ):
        """Initialise; nothing is written before :meth:`join`."""
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
        """Join the list, retrying with backoff until it succeeds.

        :param stop: ends the loop.
        :param address: ``host:port`` of the peer link.
        """
        failures = 0
        while not stop.is_set():
            wait_s = CHECK_INTERVAL_S
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
                    self.settings.limits, failures, self.operations.rng
                )
            stop.wait(wait_s)

    def join(self, address: str) -> int:
        """Add this entry's record to the list; return the list's revision.

        :param address: ``host:port`` of the peer link.
        :raises NotAcceptedError: if the members do not acknowledge.
        :raises ConflictError: if the list has a later incarnation.
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

        revision = self.apply_edit(edit, self.name, "start")
        self.joined = True
        return revision

    def leave(self) -> int:
        """Stop admitting work and remove this entry's record from the list.

        :raises NotAcceptedError: if the members do not acknowledge; the
            record then stays in the list.
        :raises StoreError: if the store fails.
        """
        self.freshness.stop_admitting()
        return self.apply_edit(
            lambda members: with_member(members, self.name, None),
            self.name,
            "graceful stop",
        )

    def remove(
        self, name: str, who: str, why: str, force: bool = False
    ) -> AcceptedChange:
        """Remove a member that is no longer running.

        :param name: name of the member.
        :param who: name of the operator.
        :param why: the operator's reason.
        :param force: continue without a majority, for the case that most
            members are permanently lost. Unsafe if any of them still runs.
        :raises NotFoundError: if the name is not in the list.
        :raises NotAcceptedError: if the members do not acknowledge.
        :raises ConflictError: if a replacement takes over the name meanwhile.
        :raises OutcomeUnknownError: if the list is not in force in time.
        """
        started_s = self.clock()
        change_id = secrets.token_hex(8)
        try:
            marked_revision = self.mark_leaving(name, who, why)
            self.wait_for_list(marked_revision, change_id, force)
            revision = self.apply_edit(
                lambda members: self.without_member(members, name),
                who,
                why,
                change_id,
                force,
            )
            self.wait_for_list(revision, change_id, force)
        except StoreError as error:
            # Not accepted rather than unknown: both steps are repeatable.
            raise NotAcceptedError(change_id, str(error)) from error
        return AcceptedChange(change_id, revision, self.clock() - started_s)

    def mark_leaving(self, name: str, who: str, why: str) -> int:
        """Mark a member as leaving; return the list's revision."""

        def edit(members: MemberList) -> MemberList:
            old = find_member(members, name)
            if old is None:
                raise NotFoundError("member", name)
            return with_member(members, name, old._replace(leaving=True))

        return self.apply_edit(edit, who, why)

    def without_member(self, members: MemberList, name: str) -> MemberList:
        """Return the list without a name.

        :raises ConflictError: if a replacement has taken over the name.
        """
        old = find_member(members, name)
        if old is not None and not old.leaving:
            raise ConflictError(MEMBERS_KEY, None, old, 0)
        return with_member(members, name, None)

    def wait_for_list(
        self, revision: int, change_id: str, force: bool
    ) -> None:
        """Wait until a list is in force.

        :raises OutcomeUnknownError: if it is not in force in time; with
            ``force`` this is only counted.
        """
        try:
            self.barriers.wait_until_in_force(
                revision, self.clock(), change_id
            )
        except OutcomeUnknownError:
            if not force:
                raise
            self.metrics.incr("members.forced")

    def apply_edit(
        self,
        edit: MemberListEdit,
        who: str,
        why: str,
        change_id: str | None = None,
        force: bool = False,
    ) -> int:
        """Change the list by compare-and-swap.

        If the store's response is lost, the list is read again; it then
        contains the change if the write was made.

        :param edit: returns the new list for the current one.
        :param who: name of the operator or entry.
        :param why: reason of the change.
        :param change_id: id of the change, a new one if None.
        :param force: do not wait for a majority.
        :returns: the revision of the list.
        :raises NotAcceptedError: if no majority acknowledges the current
            list, or if all attempts conflict.
        """
        change_id = change_id or secrets.token_hex(8)
        for _ in range(MAX_EDIT_ATTEMPTS):
            _, item = self.store.get(MEMBERS_KEY)
            old = MemberList()
            if item is not None:
                old = decode_record(item.value, MemberList, MEMBERS_KEY)
            new = edit(old)
            if new == old:
                return revision_of(item)
            if (
                member_names(new) != member_names(old)
                and old.members
                and not force
            ):
                self.wait_for_majority(item, change_id)
            revision = self.commit(item, new, change_id, who, why)
            if revision:
                return revision
            self.metrics.incr("members.races")
        raise NotAcceptedError(
            change_id,
            f"the member list could not be written in {MAX_EDIT_ATTEMPTS} "
            f"attempts",
        )

    def wait_for_majority(self, item: KeyValue, change_id: str) -> None:
        """Wait until a majority has acknowledged the current list.

        :raises NotAcceptedError: if it does not acknowledge in time.
        """
        if not self.barriers.wait_for_majority(
            item.mod_revision, self.clock()
        ):
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
        """Write the list; return its revision, 0 if it must be read again.

        That is the case after a conflict or if the response is lost.
        """
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
    """Return an incarnation higher than all earlier ones of a name.

    It is one more than the one in the member list. If the name is not in the
    list or the store is unavailable, it is the time in seconds, which is
    higher too, as an entry is started at most once per second.

    :param store: the store port.
    :param name: name of the entry.
    :param wall_clock: returns seconds since the epoch.
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


def member_names(members: MemberList) -> set[str]:
    """Return the names in a member list."""
    return {member.name for member in members.members}


def with_member(
    members: MemberList, name: str, record: MemberRecord | None
) -> MemberList:
    """Return a list with the record of a name replaced, removed if None."""
    others = [member for member in members.members if member.name != name]
    if record is not None:
        others.append(record)
    return MemberList(tuple(sorted(others)))
