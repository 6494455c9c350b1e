"""Tests of the audit trail."""

import pytest

from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.errors import FieldError, NotFoundError
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    ChangeRecord,
    ConfigView,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)
from cyclamenscale.settings import AuditSettings, Settings
from cyclamenscale.store.port import KeyValue, RangeResult
from cyclamenscale.util.codec import encode_record

SETTINGS = Settings(audit=AuditSettings(memory_limit=10))


class RangeStore:
    """A store with ``range``, the only call that the audit trail makes."""

    def __init__(self):
        self.items = {}

    def add(self, id, what, revision, old=None, new=None):
        texts = [encode_record(x).decode() if x else "" for x in (old, new)]
        record = ChangeRecord(id, "ana", what, "test", 5.0, *texts)
        self.items["change/" + id] = (encode_record(record), revision)

    def range(self, prefix, limit=0, start=""):
        keys = sorted(k for k in self.items if k >= max(prefix, start))
        found = [
            KeyValue(key, self.items[key][0], 1, self.items[key][1])
            for key in keys[:limit]
        ]
        return RangeResult(99, found, len(keys) > limit)


class Config:
    """A configuration with one pool."""

    view = ConfigView(
        revision=7,
        classes={"c": RequestClass("c", "p", 100, 0.5)},
        pools={"p": PoolRecord("p")},
        instances={"i": InstanceRecord("i", "p")},
    )


def make(store=None, **parts):
    """Return an audit trail with a fixed wall clock."""
    return AuditTrail(
        SETTINGS,
        store or RangeStore(),
        Metrics(SETTINGS),
        Config(),
        wall_clock=lambda: 5.0,
        **parts,
    )


def test_recent_decisions_are_bounded_and_drops_are_counted():
    """Guards against memory use that grows with the number of decisions."""
    trail = make()
    for number in range(13):
        trail.record_decision("outage_started", f"i{number}", "x" * 5000, {})
    found = trail.decisions()
    assert [each["number"] for each in found] == list(range(4, 14))
    assert trail.metrics.snapshot()["audit.dropped"] == 3
    assert max(len(each["why"]) for each in found) == 1000


def test_a_decision_has_who_what_why_revision_and_inputs():
    """Guards against a decision whose reason cannot be found later."""
    trail = make()
    trail.record_decision("outage_started", "i", "1 of 3 out", {"allowed": 3})
    (found,) = trail.decisions()
    assert found == {
        "number": 1,
        "when_s": 5.0,
        "who": "controller",
        "what": "outage_started",
        "subject": "i",
        "why": "1 of 3 out",
        "revision": 7,
        "inputs": {"allowed": 3},
        "sentence": "a planned outage of instance i began",
    }


def test_pages_of_changes_are_complete_and_disjoint():
    """Guards against records that are skipped or returned twice."""
    store = RangeStore()
    ids = [f"c{number:02}" for number in range(7)] + ["c02x"]
    for revision, id in enumerate(ids, 1):
        store.add(id, "config/pool/p", revision, None, PoolRecord("p"))
    trail, seen, after, more = make(store), [], "", True
    while more:
        page = trail.changes(3, after)
        seen += [each["id"] for each in page.changes]
        after, more = seen[-1], page.more
    assert seen == sorted(ids)


def test_explain_merges_changes_and_decisions_about_a_pool():
    """Guards against omitting changes of a pool's classes and instances."""
    store = RangeStore()
    pool, moved = PoolRecord("p"), InstanceRecord("i", "q")
    store.add("b", "config/pool/p", 1, None, pool)
    store.add("a", "config/instance/i", 3, moved, Config.view.instances["i"])
    store.add("c", "config/class/c", 2, None, Config.view.classes["c"])
    store.add("d", "config/instance/j", 4, None, InstanceRecord("j", "q"))
    store.add("e", "config/pool/pp", 5, None, PoolRecord("pp"))
    trail = make(store)
    trail.record_decision("rollout_halted", "p", "bad version", {})
    trail.record_decision("outage_started", "i", "", {"pool": "p"})
    trail.record_decision("change_refused", "config/pool/p", "", {})
    trail.record_decision("change_refused", "config/pool/q", "", {})
    trail.record_decision("outage_started", "p", "an instance named p", {})
    found = trail.explain("pool", "p")
    assert [each["revision"] for each in found["changes"]] == [1, 2, 3]
    assert [each["number"] for each in found["decisions"]] == [1, 2, 3]
    assert found["changes_complete"]
    assert (found["classes"], found["instances"]) == (["c"], ["i"])


def test_explain_rejects_unknown_names_and_kinds():
    """Guards against an empty response for a mistyped name."""
    trail = make(
        explain_request=lambda id: {"steps": []} if id == "r" else None
    )
    assert trail.explain("request", "r") == {"steps": [], "decisions": []}
    for kind in ("pool", "instance", "request"):
        with pytest.raises(NotFoundError):
            trail.explain(kind, "nowhere")
    with pytest.raises(FieldError):
        trail.explain("rack", "r")
    with pytest.raises(FieldError):
        trail.changes(501)
