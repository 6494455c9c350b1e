"""Tests of the operators' HTTP API."""

import pytest
from werkzeug.test import Client

from cyclamenscale.configuration.audit import AuditTrail
from cyclamenscale.configuration.operations import AcceptedChange, ChangeStatus
from cyclamenscale.configuration.operators import OperatorsApp
from cyclamenscale.errors import (
    ConflictError,
    FieldError,
    NotAcceptedError,
    NotFoundError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import ChangeRecord, ConfigView, PoolRecord
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import RangeResult

# WSGI decodes the bytes of a header as Latin-1.
ZIVA = "Živa".encode().decode("latin-1")
WHO = {"Cyclamen-Operator": ZIVA, "Cyclamen-Why": "test"}


class Entry:
    """A fake of an entry that applies changes immediately."""

    def __init__(self):
        self.view = ConfigView(revision=1)
        self.calls, self.error, self.stale = [], None, ""
        self.audit = AuditTrail(
            Settings(), self, Metrics(Settings()), self, lambda id: None
        )
        self.app = OperatorsApp(
            Settings(),
            Metrics(Settings()),
            operations=self,
            members=self,
            config=self,
            audit=self.audit,
            status=lambda: {"entry": {"name": "e1"}},
            stale_reason=lambda: self.stale,
        )

    def revision_of(self, key):
        return self.view.revision

    def change(self, kind, name, fields, who, why, change_id, expected):
        self.calls.append((kind, name, fields, who, why, change_id, expected))
        if self.error:
            raise self.error
        pools = {**self.view.pools, name: PoolRecord(name, **(fields or {}))}
        if fields is None:
            del pools[name]
        self.view = self.view._replace(
            revision=self.view.revision + 1, pools=pools
        )
        return AcceptedChange(change_id or "new", self.view.revision, 0.25)

    def remove(self, name, who, why, force):
        self.calls.append(("member", name, who, why, force))
        return AcceptedChange("m", 5, 0.1)

    def query(self, change_id):
        if change_id != "known":
            return ChangeStatus(change_id, "not_found", 0, None)
        record = ChangeRecord("known", "ana", "config/pool/p", "", 1, "", "")
        return ChangeStatus(change_id, "accepted", 4, record)

    def range(self, prefix, limit=0, start=""):
        if self.error:
            raise self.error
        return RangeResult(1, [])


@pytest.fixture
def entry():
    return Entry()


@pytest.fixture
def web(entry):
    return Client(entry.app)


def test_a_change_is_read_back_with_its_revision(entry, web):
    """Guards against losing the operator, reason, change id or revision."""
    headers = {**WHO, "Cyclamen-Change": "id-1", "If-None-Match": "*"}
    body = {"version": "1.10"}
    found = web.put("/v1/pools/p", json=body, headers=headers)
    assert found.status_code == 200
    assert found.json == {
        "change_id": "id-1",
        "revision": 2,
        "in_force_s": 0.25,
    }
    assert entry.calls == [("pool", "p", body, "Živa", "test", "id-1", 0)]
    found = web.get("/v1/pools/p")
    assert found.json["record"] == {
        "name": "p",
        "spare": False,
        "version": "1.10",
    }
    assert found.headers["ETag"] == '"2"'
    assert [x["record"]["name"] for x in web.get("/v1/pools").json["items"]]
    headers = {**WHO, "If-Match": found.headers["ETag"]}
    assert (
        web.delete("/v1/pools/p?why=old", headers=headers).status_code == 200
    )
    assert entry.calls[-1] == ("pool", "p", None, "Živa", "old", None, 2)
    assert web.get("/v1/pools/p").status_code == 404


@pytest.mark.parametrize(
    ("error", "status", "codes", "what"),
    [
        (FieldError("f", 1, "2"), 400, ["bad_field"], "change_refused"),
        (
            ExceptionGroup(
                "two", [FieldError("f", 1, "2"), FieldError("g", 1, "2")]
            ),
            400,
            ["bad_field", "bad_field"],
            "change_refused",
        ),
        (NotFoundError("pool", "p"), 404, ["not_found"], "change_refused"),
        (
            ConflictError("k", PoolRecord("a"), PoolRecord("b"), 4),
            409,
            ["conflict"],
            "change_refused",
        ),
        (
            NotAcceptedError("i", "store down"),
            503,
            ["not_accepted"],
            "change_refused",
        ),
        (
            OutcomeUnknownError("i", "late"),
            504,
            ["outcome_unknown"],
            "change_unknown",
        ),
        (ZeroDivisionError("secret"), 500, ["internal"], "change_unknown"),
    ],
)
def test_errors_have_a_status_and_codes_and_are_audited(
    entry, web, error, status, codes, what
):
    """Guards against errors with a wrong status or without audit record."""
    entry.error = error
    found = web.put("/v1/pools/p", json={}, headers=WHO)
    assert found.status_code == status
    assert [item["code"] for item in found.json["errors"]] == codes
    assert "secret" not in found.text
    (decision,) = entry.audit.decisions(10, "pool", "p")
    assert (decision["what"], decision["who"]) == (what, "Živa")
    assert decision["inputs"]["errors"] == codes
    if status == 409:
        item = found.json["errors"][0]
        assert item["wanted"]["name"] == "a"
        assert item["current"]["name"] == "b"
        assert item["revision"] == 4
    if status == 504:
        assert found.json["errors"][0]["change_id"] == "i"


@pytest.mark.parametrize(
    ("body", "headers", "field"),
    [
        (b"{", {}, "body"),
        (b"[]", {}, "body"),
        (b"{}", {"If-Match": "*"}, "If-Match"),
        (b"{}", {"If-None-Match": '"1"'}, "If-None-Match"),
    ],
)
def test_malformed_requests_change_nothing(entry, web, body, headers, field):
    """Guards against a change that the operator did not intend."""
    found = web.put("/v1/pools/p", data=body, headers=headers)
    assert found.status_code == 400
    assert found.json["errors"][0]["field"] == field
    assert entry.calls == []


def test_bodies_are_bounded_and_unknown_paths_are_rejected(entry, web):
    """Guards against large bodies in memory and non-JSON error responses."""
    limit = Settings().operators.body_limit_bytes
    found = web.put("/v1/pools/p", data=b"x" * (limit + 1))
    assert found.status_code == 413
    assert found.json["errors"][0]["code"] == "http"
    assert web.get("/v1/nothing").status_code == 404
    found = web.post("/v1/pools/p")
    assert found.status_code == 405
    assert "PUT" in found.headers["Allow"]
    assert entry.calls == []


def test_an_entry_that_is_not_fresh_returns_no_records(entry, web):
    """Guards against a read that misses a change made at another entry."""
    entry.stale = "no majority for 7 s"
    for path in ("pools", "pools/p", "members", "classes", "instances"):
        found = web.get(f"/v1/{path}")
        assert found.status_code == 503
        assert found.json["errors"][0]["code"] == "not_fresh"
    assert web.get("/v1/status").json == {"entry": {"name": "e1"}}


def test_changes_audit_and_members(entry, web):
    """Guards against requests that reach the wrong handler or object."""
    assert web.get("/v1/changes/known").json["state"] == "accepted"
    assert web.get("/v1/changes/other").status_code == 404
    found = web.delete("/v1/members/e9?force=yes", headers=WHO)
    assert found.json["revision"] == 5
    assert entry.calls == [("member", "e9", "Živa", "test", True)]
    assert web.delete("/v1/members/e9?force=1").status_code == 400
    found = web.get("/v1/audit?limit=5").json
    assert found["changes"] == []
    assert [x["what"] for x in found["decisions"]] == [
        "member_removed",
        "change_refused",
    ]
    for query in ("limit=0", "limit=x", "limit=501"):
        assert web.get(f"/v1/audit?{query}").status_code == 400
    assert web.get("/v1/explain/pool/p").status_code == 404
    assert web.get("/v1/explain/rack/p").status_code == 400
    entry.error = StoreUnavailableError("range", "down")
    assert web.get("/v1/audit").status_code == 503
