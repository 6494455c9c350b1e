"""The operators' interface: an HTTP application with JSON in and out.

Records are read from the entry's applied configuration, and only while it
is fresh: an entry that lost touch may have missed a change that another one
accepted. Every change that is not accepted goes to the audit trail.
"""

import re
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from cyclamenscale.configuration.audit import TEXT_LIMIT, AuditTrail
from cyclamenscale.configuration.validation import PREFIXES
from cyclamenscale.errors import (
    ConflictError,
    FieldError,
    NotAcceptedError,
    NotFoundError,
    NotFreshError,
    OutcomeUnknownError,
    StoreError,
    UserError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import MEMBERS_KEY, ConfigView
from cyclamenscale.settings import Settings
from cyclamenscale.util.codec import from_json, to_json, to_plain
from cyclamenscale.util.faults import iter_errors, serialize_error

#: Field of the view and path of each kind of record.
COLLECTIONS = {"class": "classes", "pool": "pools", "instance": "instances"}

STATUSES: tuple[tuple[type, int], ...] = (
    (FieldError, 400),
    (NotFoundError, 404),
    (ConflictError, 409),
    (NotAcceptedError, 503),
    (NotFreshError, 503),
    (OutcomeUnknownError, 504),
    (StoreError, 503),
    (UserError, 400),
)

ETAG = re.compile(r'"?(\d{1,18})"?')


class Config(Protocol):
    """What has the applied configuration."""

    view: ConfigView

    def revision_of(self, key: str) -> int:
        """Return the revision of a record, 0 if there is none."""


class Operations(Protocol):
    """What makes changes and knows of them."""

    def change(
        self,
        kind: str,
        name: str,
        fields: dict | None,
        who: str,
        why: str,
        change_id: str | None,
        expected_revision: int | None,
    ) -> Any:
        """Make a change and wait until it is in force."""

    def query(self, change_id: str) -> Any:
        """Return what is known about a change."""


class Members(Protocol):
    """What removes members from the member list."""

    def remove(self, name: str, who: str, why: str, force: bool) -> Any:
        """Remove a member."""


def status_of(error: BaseException) -> int:
    """Return the HTTP status of an error or exception group."""
    leaf = next(iter_errors(error))
    for kind, status in STATUSES:
        if isinstance(leaf, kind):
            return status
    return 500


def revision_header(request: Request) -> int | None:
    """Return the revision that the operator expects.

    ``If-Match: "REVISION"`` for a record that was read, ``If-None-Match: *``
    for one that must not exist.

    :raises FieldError: if a header has another form.
    """
    absent = request.headers.get("If-None-Match")
    if absent is not None:
        if absent.strip() != "*":
            raise FieldError("If-None-Match", absent, "*")
        return 0
    given = request.headers.get("If-Match")
    if given is None:
        return None
    match = ETAG.fullmatch(given.strip())
    if not match:
        raise FieldError("If-Match", given, "the revision of a record")
    return int(match[1])


def header_text(request: Request, name: str) -> str:
    """Return a header that may be in UTF-8, which WSGI reads as Latin-1."""
    text = request.headers.get(name, "")
    return text.encode("latin-1", "replace").decode("utf-8", "replace")


def whole_number(request: Request, name: str, default: int) -> int:
    """Return a number from the query.

    :raises FieldError: if it is no whole number.
    """
    text = request.args.get(name, str(default))
    if not re.fullmatch(r"\d{1,9}", text):
        raise FieldError(name, text, "a whole number")
    return int(text)


def answer(value: Any, status: int = 200, revision: int = 0) -> Response:
    """Make an answer in JSON; a revision becomes its ETag."""
    response = Response(
        to_json(value) + b"\n", status, content_type="application/json"
    )
    response.headers["Cache-Control"] = "no-store"
    if revision:
        response.set_etag(str(revision))
    return response


class OperatorsApp:
    """WSGI application of the operators' server.

    :param settings: ``[operators]`` bounds the bodies.
    :param metrics: counters ``operators.requests``, ``.refused`` and
        ``.errors``.
    :param operations: makes changes.
    :param members: removes members.
    :param config: has the applied configuration.
    :param audit: the audit trail.
    :param status: returns the entry's status.
    :param not_fresh: says why the entry's configuration may be old, empty
        if it is fresh.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        operations: Operations,
        members: Members,
        config: Config,
        audit: AuditTrail,
        status: Callable[[], dict[str, Any]],
        not_fresh: Callable[[], str] = lambda: "",
    ):
        """Set up the routes."""
        self.settings = settings
        self.metrics = metrics
        self.operations = operations
        self.members = members
        self.config = config
        self.audit = audit
        self.status = status
        self.not_fresh = not_fresh
        rules = [
            Rule("/v1/members", methods=["GET"], endpoint=self.list_members),
            Rule(
                "/v1/members/<name>",
                methods=["DELETE"],
                endpoint=self.remove_member,
            ),
            Rule("/v1/changes/<id>", methods=["GET"], endpoint=self.query),
            Rule("/v1/status", methods=["GET"], endpoint=self.show_status),
            Rule("/v1/audit", methods=["GET"], endpoint=self.show_audit),
            Rule(
                "/v1/explain/<kind>/<name>",
                methods=["GET"],
                endpoint=self.explain,
            ),
        ]
        for kind, path in COLLECTIONS.items():
            for rest, method, endpoint in (
                ("", "GET", self.list),
                ("/<name>", "GET", self.show),
                ("/<name>", "PUT", self.put),
                ("/<name>", "DELETE", self.delete),
            ):
                rules.append(
                    Rule(
                        f"/v1/{path}{rest}",
                        defaults={"kind": kind},
                        methods=[method],
                        endpoint=endpoint,
                    )
                )
        self.routes = Map(rules, redirect_defaults=False, merge_slashes=False)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable:
        """Answer one call; the WSGI entry point."""
        request = Request(environ)
        request.max_content_length = self.settings.operators.body_limit_bytes
        return self.respond(request)(environ, start_response)

    def respond(self, request: Request) -> Response:
        """Call the endpoint of a request, and word its error."""
        self.metrics.incr("operators.requests")
        try:
            endpoint, values = self.routes.bind_to_environ(
                request.environ
            ).match()
            return endpoint(request, **values)
        except HTTPException as error:
            if error.response is not None or error.code is None:
                return error.get_response()
            fault = {"code": "http", "message": error.description}
            response = answer({"errors": [fault]}, error.code)
            for name, value in error.get_headers():
                if name in ("Allow", "Retry-After"):
                    response.headers[name] = value
            return response
        except Exception as error:
            status = status_of(error)
            if status == 500:
                self.metrics.incr("operators.errors")
                logger.opt(exception=error).error("operators' call failed")
            else:
                self.metrics.incr("operators.refused")
            return answer({"errors": serialize_error(error)}, status)

    def fresh_view(self) -> ConfigView:
        """Return the applied configuration.

        :raises NotFreshError: if it may be old.
        """
        reason = self.not_fresh()
        if reason:
            raise NotFreshError(reason)
        return self.config.view

    def item(self, kind: str, name: str) -> dict[str, Any]:
        """Return a record with its revision.

        The revision is read before the record. If a change comes in between
        the revision is the older one, and a change that expects it is
        refused; the other order would let that change undo the newer one.

        :raises NotFoundError: if there is no such record.
        """
        revision = self.config.revision_of(PREFIXES[kind] + name)
        record = getattr(self.config.view, COLLECTIONS[kind]).get(name)
        if record is None:
            raise NotFoundError(kind, name)
        return {"record": record, "revision": revision}

    def list(self, request: Request, kind: str) -> Response:
        """Answer with all records of a kind."""
        view = self.fresh_view()
        items = []
        for name in sorted(getattr(view, COLLECTIONS[kind])):
            try:
                items.append(self.item(kind, name))
            except NotFoundError:
                # Removed since the view was read.
                continue
        return answer({"revision": view.revision, "items": items})

    def show(self, request: Request, kind: str, name: str) -> Response:
        """Answer with one record."""
        self.fresh_view()
        item = self.item(kind, name)
        return answer(item, revision=item["revision"])

    def list_members(self, request: Request) -> Response:
        """Answer with the member list."""
        view = self.fresh_view()
        items = [
            {"record": member, "revision": view.members_revision}
            for member in view.members.members
        ]
        return answer({"revision": view.members_revision, "items": items})

    def put(self, request: Request, kind: str, name: str) -> Response:
        """Create or replace a record."""
        fields = from_json(request.get_data(), "body")
        if not isinstance(fields, dict):
            raise FieldError("body", fields, "a JSON object")
        return self.change(request, kind, name, fields)

    def delete(self, request: Request, kind: str, name: str) -> Response:
        """Remove a record."""
        return self.change(request, kind, name, None)

    def change(
        self, request: Request, kind: str, name: str, fields: dict | None
    ) -> Response:
        """Make a change of a record."""
        change_id = request.headers.get("Cyclamen-Change") or None

        def make(who: str, why: str) -> Any:
            expected = revision_header(request)
            return self.operations.change(
                kind, name, fields, who, why, change_id, expected
            )

        inputs = {
            "change_id": change_id or "",
            "fields": to_json(fields).decode()[:TEXT_LIMIT],
        }
        return self.audited(request, PREFIXES[kind] + name, inputs, make)

    def audited(
        self,
        request: Request,
        key: str,
        inputs: dict[str, Any],
        make: Callable[[str, str], Any],
    ) -> Response:
        """Make a change, and add it to the audit trail if it fails.

        :param key: store key that it changes.
        :param inputs: what was asked for.
        :param make: makes the change; takes operator and reason.
        """
        who = header_text(request, "Cyclamen-Operator")
        why = request.args.get("why") or header_text(request, "Cyclamen-Why")
        try:
            accepted = make(who, why)
        except Exception as error:
            codes = [fault["code"] for fault in serialize_error(error)]
            unknown = status_of(error) in (500, 504)
            self.audit.decided(
                "change_unknown" if unknown else "change_refused",
                key[:TEXT_LIMIT],
                "; ".join(str(leaf) for leaf in iter_errors(error)),
                {**inputs, "why": why[:TEXT_LIMIT], "errors": codes},
                who[:TEXT_LIMIT],
            )
            raise
        return answer(accepted, revision=accepted.revision)

    def remove_member(self, request: Request, name: str) -> Response:
        """Remove an entry from the member list."""
        force = request.args.get("force", "no")

        def make(who: str, why: str) -> Any:
            if force not in ("yes", "no"):
                raise FieldError("force", force, "yes or no")
            accepted = self.members.remove(name, who, why, force == "yes")
            inputs = {"why": why, "force": force}
            self.audit.decided("member_removed", name, why, inputs, who)
            return accepted

        return self.audited(request, MEMBERS_KEY, {"member": name}, make)

    def query(self, request: Request, id: str) -> Response:
        """Answer with what is known about a change."""
        found = self.operations.query(id)
        if found.state == "not_found":
            raise NotFoundError("change", id)
        return answer(found)

    def show_status(self, request: Request) -> Response:
        """Answer with the entry's status."""
        return answer(self.status())

    def show_audit(self, request: Request) -> Response:
        """Answer with changes and decisions."""
        limit = whole_number(request, "limit", 50)
        page = self.audit.changes(limit, request.args.get("after", ""))
        return answer(
            {**page._asdict(), "decisions": self.audit.decisions(limit)}
        )

    def explain(self, request: Request, kind: str, name: str) -> Response:
        """Answer with what is known about an instance, pool or request."""
        return answer(to_plain(self.audit.explain(kind, name)))
