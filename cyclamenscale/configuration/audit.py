"""The audit trail: decisions of this entry, and changes from the store.

Decisions are kept in memory, bounded, and are lost with the entry. Changes
of the configuration are records in the store, written in the transaction of
the change.
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

#: Change records read by one call of the store.
MAX_PAGE_RECORDS = 500

#: Change records that one explanation reads. A month of changes at letter
#: 1's size is 690,000 records; reading them all would use up the budget of
#: store reads.
MAX_EXPLAIN_RECORDS = 10000

#: Characters of a text in a decision, as operators' input is kept there.
MAX_TEXT_LENGTH = 1000

PREFIXES = {
    "class": CLASS_PREFIX,
    "instance": INSTANCE_PREFIX,
    "pool": POOL_PREFIX,
}


class Decision(NamedTuple):
    """A decision that this entry made.

    :ivar number: number of the decision at this entry.
    :ivar when_s: seconds since the epoch.
    :ivar who: component or operator.
    :ivar what: kind of decision, a name in ``DECISION_KINDS``.
    :ivar subject: name of what it is about.
    :ivar why: the reason in words.
    :ivar revision: configuration revision on which it was made.
    :ivar inputs: values that decided it.
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

    :ivar subject: ``instance``, ``pool``, ``member`` or ``key``, a key of
        the store.
    :ivar sentence: says in one sentence what was decided.
    """

    subject: str
    sentence: Callable[[Decision], str]


DECISION_KINDS: dict[str, DecisionKind] = {}


def decision_kind(what: str, subject: str) -> Callable:
    """Register a kind of decision by the function that words it.

    :param what: name of the kind.
    :param subject: what its subject is.
    """

    def register(sentence: Callable[[Decision], str]) -> Callable:
        DECISION_KINDS[what] = DecisionKind(subject, sentence)
        return sentence

    return register


@decision_kind("outage_started", "instance")
def outage_started(decision: Decision) -> str:
    """Word the start of a planned outage."""
    return f"a planned outage of instance {decision.subject} began"


@decision_kind("outage_ended", "instance")
def outage_ended(decision: Decision) -> str:
    """Word the end of a planned outage."""
    return f"instance {decision.subject} returned to service"


@decision_kind("instance_moved", "instance")
def instance_moved(decision: Decision) -> str:
    """Word the change of an instance's pool."""
    target = decision.inputs.get("target", "")
    return f"instance {decision.subject} joins pool {target}"


@decision_kind("rollout_halted", "pool")
def rollout_halted(decision: Decision) -> str:
    """Word the halt of a roll-out."""
    return f"the roll-out in pool {decision.subject} was halted"


@decision_kind("endpoint_excluded", "instance")
def endpoint_excluded(decision: Decision) -> str:
    """Word the exclusion of an endpoint from new work."""
    return f"instance {decision.subject} gets no new work"


@decision_kind("endpoint_back", "instance")
def endpoint_back(decision: Decision) -> str:
    """Word the end of an exclusion."""
    return f"instance {decision.subject} gets new work again"


@decision_kind("change_refused", "key")
def change_refused(decision: Decision) -> str:
    """Word the refusal of a change."""
    return f"a change of {decision.subject} was refused"


@decision_kind("change_unknown", "key")
def change_unknown(decision: Decision) -> str:
    """Word a change whose outcome is unknown."""
    change_id = decision.inputs.get("change_id", "")
    return f"outcome of change {change_id} of {decision.subject} is unknown"


@decision_kind("member_removed", "member")
def member_removed(decision: Decision) -> str:
    """Word the removal of a member."""
    return f"entry {decision.subject} was removed from the member list"


class ConfigSource(Protocol):
    """What has the applied configuration."""

    view: ConfigView


class ChangePage(NamedTuple):
    """Change records in the order of their ids.

    :ivar changes: records, each with its revision.
    :ivar more: whether there are further records.
    """

    changes: list[dict[str, Any]]
    more: bool


class AuditTrail:
    """Keeps decisions and reads changes. All may be called from threads.

    :param settings: ``[audit] memory_limit`` bounds the decisions.
    :param store: holds the change records.
    :param metrics: counters ``audit.decisions``, ``.dropped`` and
        ``.unknown_kind``.
    :param config: has the applied configuration.
    :param explain_request: returns the steps of a recent request.
    :param wall_clock: seconds since the epoch.
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
        """Start without decisions."""
        self.store = store
        self.metrics = metrics
        self.config = config
        self.explain_request = explain_request
        self.wall_clock = wall_clock
        # Guards ring, number.
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
        """Add a decision.

        :param what: kind of decision.
        :param subject: name of what it is about.
        :param why: the reason in words.
        :param inputs: values that decided it.
        :param who: component or operator.
        :param revision: configuration revision on which it was made, by
            default the applied one.
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

        :param limit: at most so many.
        :param kind: only those about a subject of this kind and name.
        :param name: name of the subject.
        """
        with self.lock:
            found = list(self.recent_decisions)
        if kind:
            found = [
                each for each in found if decision_concerns(each, kind, name)
            ]
        return [with_sentence(each) for each in found[-limit:]]

    def changes(self, limit: int = 100, after: str = "") -> ChangePage:
        """Read change records in the order of their ids.

        :param limit: at most so many, up to ``PAGE_LIMIT``.
        :param after: id of the last record of the page before.
        :raises StoreError: if the store does not answer.
        """
        if not 1 <= limit <= MAX_PAGE_RECORDS:
            allowed = f"a whole number from 1 to {MAX_PAGE_RECORDS}"
            raise FieldError("limit", limit, allowed)
        # The least key above a key is the key and a zero byte.
        start = CHANGE_PREFIX + after + "\0" if after else ""
        page = self.store.range(CHANGE_PREFIX, limit, start)
        changes = []
        for item in page.items:
            record = decode_record(item.value, ChangeRecord, item.key)
            changes.append({**record._asdict(), "revision": item.mod_revision})
        return ChangePage(changes, page.more)

    def find_changes(self, kind: str, name: str) -> tuple[list[dict], bool]:
        """Read the changes about an instance, pool or class.

        :returns: the changes by revision, and whether all were read.
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
        """Merge what is known about an instance, pool or request.

        :param kind: ``instance``, ``pool`` or ``request``.
        :param name: its name.
        :raises FieldError: if the kind is another.
        :raises NotFoundError: if nothing is known under that name.
        :raises StoreError: if the store does not answer.
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
        answer = {
            "kind": kind,
            "name": name,
            "revision": view.revision,
            "record": to_plain(record),
            "changes": found,
            "changes_complete": complete,
            "decisions": decisions,
        }
        if kind == "pool":
            for part in ("classes", "instances"):
                answer[part] = sorted(
                    each.name
                    for each in getattr(view, part).values()
                    if each.pool == name
                )
        return answer


def decision_concerns(decision: Decision, kind: str, name: str) -> bool:
    """Return whether a decision is about a subject."""
    if decision.inputs.get(kind) == name:
        return True
    known = DECISION_KINDS.get(decision.what)
    if known and known.subject == "key":
        return decision.subject == PREFIXES.get(kind, "\0") + name
    return decision.subject == name and (not known or known.subject == kind)


def change_concerns(record: dict[str, Any], kind: str, name: str) -> bool:
    """Return whether a change record is about a subject.

    Changes of a pool's classes and members count for the pool.
    """
    if record["what"] == PREFIXES[kind] + name:
        return True
    if kind != "pool":
        return False
    if record["what"].startswith(CLASS_PREFIX):
        place = RequestClass._fields.index("pool")
    elif record["what"].startswith(INSTANCE_PREFIX):
        place = InstanceRecord._fields.index("pool")
    else:
        return False
    return any(
        from_json(text.encode(), record["id"])[place] == name
        for text in (record["old"], record["new"])
        if text
    )


def with_sentence(decision: Decision) -> dict[str, Any]:
    """Return a decision as plain data with its sentence."""
    known = DECISION_KINDS.get(decision.what)
    sentence = known.sentence(decision) if known else decision.what
    return {**decision._asdict(), "sentence": sentence}
