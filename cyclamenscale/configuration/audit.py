"""The audit trail: decisions of this entry and configuration changes.

Decisions are kept in a bounded buffer in memory and are lost when the entry
stops. Configuration changes are records in the store; each is written in
the same transaction as the change itself.
"""

import time
from collections import deque
from collections.abc import Callable
from threading import Lock
from typing import Any, NamedTuple, Protocol

from cyclamenscale.errors import FieldError, NotFoundError
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CHANGE_PREFIX,
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    POOL_PREFIX,
    ChangeRecord,
    ConfigView,
    InstanceRecord,
    RequestClass,
)
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Store
from cyclamenscale.util.codec import decode_record, from_json, to_plain

#: Maximum number of change records read by one store call.
MAX_PAGE_RECORDS = 500

#: Maximum number of change records read for one explanation. At the planned
#: fleet size a month of changes is 690,000 records; reading them all would
#: use up the budget of store reads.
MAX_EXPLAIN_RECORDS = 10000

#: Maximum length of a text in a decision, in characters; it bounds the
#: operators' input that is kept in memory.
MAX_TEXT_LENGTH = 1000

#: Store key prefix of each kind of record.
PREFIXES = {
    "class": CLASS_PREFIX,
    "instance": INSTANCE_PREFIX,
    "pool": POOL_PREFIX,
}


class Decision(NamedTuple):
    """A decision that this entry made.

    :ivar number: sequence number of the decision at this entry.
    :ivar when_s: time of the decision, in seconds since the epoch.
    :ivar who: component or operator that decided.
    :ivar what: kind of decision, a key of ``DECISION_KINDS``.
    :ivar subject: name of the instance, pool, member or store key.
    :ivar why: the reason as text.
    :ivar revision: configuration revision that the decision is based on.
    :ivar inputs: values that the decision is based on.
    """

    number: int
    when_s: float
    who: str
    what: str
    subject: str
    why: str
    revision: int
    inputs: dict[str, Any]


class DecisionKind(NamedTuple):
    """A kind of decision.

    :ivar subject: type of the subject: ``instance``, ``pool``, ``member``
        or ``key`` (a store key).
    :ivar sentence: returns a sentence that describes a decision.
    """

    subject: str
    sentence: Callable[[Decision], str]


DECISION_KINDS: dict[str, DecisionKind] = {}


def decision_kind(what: str, subject: str) -> Callable:
    """Register the function that describes decisions of a kind.

    :param what: name of the kind.
    :param subject: type of the subject, see :class:`DecisionKind`.
    """

    def register(sentence: Callable[[Decision], str]) -> Callable:
        DECISION_KINDS[what] = DecisionKind(subject, sentence)
        return sentence

    return register


@decision_kind("outage_started", "instance")
def outage_started(decision: Decision) -> str:
    """Describe the start of a planned outage."""
    return f"a planned outage of instance {decision.subject} began"


@decision_kind("outage_ended", "instance")
def outage_ended(decision: Decision) -> str:
    """Describe the end of a planned outage."""
    return f"instance {decision.subject} returned to service"


@decision_kind("instance_moved", "instance")
def instance_moved(decision: Decision) -> str:
    """Describe the move of an instance to another pool."""
    target = decision.inputs.get("target", "")
    return f"instance {decision.subject} joins pool {target}"


@decision_kind("rollout_halted", "pool")
def rollout_halted(decision: Decision) -> str:
    """Describe the halt of a roll-out."""
    return f"the roll-out in pool {decision.subject} was halted"


@decision_kind("endpoint_excluded", "instance")
def endpoint_excluded(decision: Decision) -> str:
    """Describe the exclusion of an endpoint from new work."""
    return f"instance {decision.subject} gets no new work"


@decision_kind("endpoint_back", "instance")
def endpoint_back(decision: Decision) -> str:
    """Describe the end of an endpoint's exclusion."""
    return f"instance {decision.subject} gets new work again"


@decision_kind("change_refused", "key")
def change_refused(decision: Decision) -> str:
    """Describe the rejection of a change."""
    return f"a change of {decision.subject} was refused"


@decision_kind("change_unknown", "key")
def change_unknown(decision: Decision) -> str:
    """Describe a change whose outcome is unknown."""
    change_id = decision.inputs.get("change_id", "")
    return f"outcome of change {change_id} of {decision.subject} is unknown"


@decision_kind("member_removed", "member")
def member_removed(decision: Decision) -> str:
    """Describe the removal of a member."""
    return f"entry {decision.subject} was removed from the member list"


class ConfigSource(Protocol):
    """Provides the applied configuration."""

    view: ConfigView


class ChangePage(NamedTuple):
    """A page of change records, ordered by change id.

    :ivar changes: the records as plain data, each with its revision.
    :ivar more: whether further records follow.
    """

    changes: list[dict[str, Any]]
    more: bool


class AuditTrail:
    """Keeps recent decisions and reads change records.

    All methods are thread-safe.

    :param settings: ``[audit] memory_limit`` bounds the number of
        decisions that are kept.
    :param store: holds the change records.
    :param metrics: counters ``audit.decisions``, ``.dropped`` and
        ``.unknown_kind``.
    :param config: provides the applied configuration.
    :param explain_request: returns the steps of a recent request, or None
        if the request is unknown.
    :param wall_clock: returns the seconds since the epoch.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        metrics: Metrics,
        config: ConfigSource,
        explain_request: Callable[[str], dict | None] = lambda name: None,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Initialise with no decisions."""
        self.store = store
        self.metrics = metrics
        self.config = config
        self.explain_request = explain_request
        self.wall_clock = wall_clock
        # Guards recent_decisions, last_number.
        self.lock = Lock()
        self.recent_decisions: deque[Decision] = deque(
            maxlen=settings.audit.memory_limit
        )
        self.last_number = 0

    def record_decision(
        self,
        what: str,
        subject: str,
        why: str,
        inputs: dict[str, Any],
        who: str = "controller",
        revision: int | None = None,
    ) -> Decision:
        """Record a decision; the oldest one is dropped if the buffer is full.

        :param what: kind of decision, a key of ``DECISION_KINDS``.
        :param subject: name of the instance, pool, member or store key.
        :param why: the reason as text.
        :param inputs: values that the decision is based on.
        :param who: component or operator that decided.
        :param revision: configuration revision that the decision is based
            on, by default the applied one.
        """
        if what not in DECISION_KINDS:
            self.metrics.incr("audit.unknown_kind")
        if revision is None:
            revision = self.config.view.revision
        with self.lock:
            if len(self.recent_decisions) == self.recent_decisions.maxlen:
                self.metrics.incr("audit.dropped")
            self.last_number += 1
            decision = Decision(
                self.last_number,
                self.wall_clock(),
                who,
                what,
                subject,
                why[:MAX_TEXT_LENGTH],
                revision,
                to_plain(inputs),
            )
            self.recent_decisions.append(decision)
        self.metrics.incr("audit.decisions")
        return decision

    def decisions(
        self, limit: int = 100, kind: str = "", name: str = ""
    ) -> list[dict[str, Any]]:
        """Return the newest decisions, oldest first.

        :param limit: maximum number of decisions.
        :param kind: type of the subject to select, empty for all decisions.
        :param name: name of the subject to select.
        """
        with self.lock:
            found = list(self.recent_decisions)
        if kind:
            found = [
                each for each in found if decision_concerns(each, kind, name)
            ]
        return [with_sentence(each) for each in found[-limit:]]

    def changes(self, limit: int = 100, after: str = "") -> ChangePage:
        """Read a page of change records, ordered by change id.

        :param limit: page size, at most ``MAX_PAGE_RECORDS``.
        :param after: id of the last record of the previous page.
        :raises FieldError: if the page size is out of range.
        :raises StoreError: if the store does not respond.
        """
        if not 1 <= limit <= MAX_PAGE_RECORDS:
            allowed = f"a whole number from 1 to {MAX_PAGE_RECORDS}"
            raise FieldError("limit", limit, allowed)
        # The smallest key above a key is that key plus a zero byte.
        start = CHANGE_PREFIX + after + "\0" if after else ""
        page = self.store.range(CHANGE_PREFIX, limit, start)
        changes = []
        for item in page.items:
            record = decode_record(item.value, ChangeRecord, item.key)
            changes.append({**record._asdict(), "revision": item.mod_revision})
        return ChangePage(changes, page.more)

    def find_changes(self, kind: str, name: str) -> tuple[list[dict], bool]:
        """Read the changes that concern an instance, pool or class.

        :returns: the changes in order of revision, and whether all change
            records were read.
        """
        found: list[dict] = []
        after, more = "", True
        for _ in range(MAX_EXPLAIN_RECORDS // MAX_PAGE_RECORDS):
            page = self.changes(MAX_PAGE_RECORDS, after)
            found += [
                each
                for each in page.changes
                if change_concerns(each, kind, name)
            ]
            more = page.more
            if not more or not page.changes:
                break
            after = page.changes[-1]["id"]
        return sorted(found, key=lambda each: each["revision"]), not more

    def explain(self, kind: str, name: str) -> dict[str, Any]:
        """Return all records about an instance, pool or request.

        :param kind: ``instance``, ``pool`` or ``request``.
        :param name: name of the instance or pool, or id of the request.
        :raises FieldError: if the kind is none of these.
        :raises NotFoundError: if there is no record of that name.
        :raises StoreError: if the store does not respond.
        """
        decisions = self.decisions(MAX_PAGE_RECORDS, kind, name)
        if kind == "request":
            steps = self.explain_request(name)
            if steps is None and not decisions:
                raise NotFoundError("recent request", name)
            return {**(steps or {}), "decisions": decisions}
        if kind not in ("instance", "pool"):
            allowed = "one of instance, pool, request"
            raise FieldError("kind", kind, allowed)
        view = self.config.view
        record = getattr(view, kind + "s").get(name)
        found, complete = self.find_changes(kind, name)
        if record is None and not found and not decisions:
            raise NotFoundError(kind, name)
        explanation = {
            "kind": kind,
            "name": name,
            "revision": view.revision,
            "record": to_plain(record),
            "changes": found,
            "changes_complete": complete,
            "decisions": decisions,
        }
        if kind == "pool":
            for collection in ("classes", "instances"):
                explanation[collection] = sorted(
                    each.name
                    for each in getattr(view, collection).values()
                    if each.pool == name
                )
        return explanation


def decision_concerns(decision: Decision, kind: str, name: str) -> bool:
    """Return whether a decision concerns a subject."""
    if decision.inputs.get(kind) == name:
        return True
    registered = DECISION_KINDS.get(decision.what)
    if registered and registered.subject == "key":
        return decision.subject == PREFIXES.get(kind, "\0") + name
    return decision.subject == name and (
        not registered or registered.subject == kind
    )


def change_concerns(record: dict[str, Any], kind: str, name: str) -> bool:
    """Return whether a change record concerns a subject.

    A change of a class or instance also concerns the pools that it belonged
    to before and after the change.
    """
    if record["what"] == PREFIXES[kind] + name:
        return True
    if kind != "pool":
        return False
    if record["what"].startswith(CLASS_PREFIX):
        pool_index = RequestClass._fields.index("pool")
    elif record["what"].startswith(INSTANCE_PREFIX):
        pool_index = InstanceRecord._fields.index("pool")
    else:
        return False
    return any(
        from_json(text.encode(), record["id"])[pool_index] == name
        for text in (record["old"], record["new"])
        if text
    )


def with_sentence(decision: Decision) -> dict[str, Any]:
    """Return a decision as plain data, with the sentence describing it."""
    registered = DECISION_KINDS.get(decision.what)
    sentence = registered.sentence(decision) if registered else decision.what
    return {**decision._asdict(), "sentence": sentence}
