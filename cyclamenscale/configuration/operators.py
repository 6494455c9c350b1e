"""The operators' HTTP API, with JSON requests and responses.

Records are read from the entry's applied configuration, and only while it
is fresh: an entry that is cut off from the store or its peers may have
missed a change that another entry accepted. Every change that is not
accepted is recorded in the audit trail.
"""

import re
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from cyclamenscale.configuration.audit import MAX_TEXT_LENGTH, AuditTrail
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

#: Name of the collection of each kind of record, used both as the field of
#: the configuration view and as the path segment.
COLLECTIONS = {"class": "classes", "pool": "pools", "instance": "instances"}

#: HTTP status of each error type; the first match counts.
HTTP_STATUSES: tuple[tuple[type, int], ...] = (
    (FieldError, 400),
    (NotFoundError, 404),
    (ConflictError, 409),
    (NotAcceptedError, 503),
    (NotFreshError, 503),
    (OutcomeUnknownError, 504),
    (StoreError, 503),
    (UserError, 400),
)

#: A revision as an ETag, with or without quotes.
ETAG = re.compile(r'"?(\d{1,18})"?')


class ConfigSource(Protocol):
    """Provides the applied configuration."""

    view: ConfigView

    def revision_of(self, key: str) -> int:
        """Return the revision of a record, 0 if it does not exist."""


class Operations(Protocol):
    """Makes changes and returns their state."""

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
        """Make a change and wait until it is in force everywhere."""

    def query(self, change_id: str) -> Any:
        """Return the state of a change."""


class MemberRemoval(Protocol):
    """Removes members from the member list."""

    def remove(self, name: str, who: str, why: str, force: bool) -> Any:
        """Remove a member."""


def http_status(error: BaseException) -> int:
    """Return the HTTP status of an error or exception group."""
    leaf = next(iter_errors(error))
    for error_type, status in HTTP_STATUSES:
        if isinstance(leaf, error_type):
            return status
    return 500


def expected_revision(request: Request) -> int | None:
    """Return the revision that the request expects the record to have.

    ``If-Match: "REVISION"`` gives the revision of a record that was read;
    ``If-None-Match: *`` means that the record must not exist.

    :returns: the revision, 0 for a record that must not exist, None if the
        request has neither header.
    :raises FieldError: if a header is malformed.
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
    """Return a header as UTF-8; WSGI decodes header bytes as Latin-1."""
    text = request.headers.get(name, "")
    return text.encode("latin-1", "replace").decode("utf-8", "replace")


def integer_argument(request: Request, name: str, default: int) -> int:
    """Return a non-negative integer from the query string.

    :raises FieldError: if the argument is not a number of 1 to 9 digits.
    """
    text = request.args.get(name, str(default))
    if not re.fullmatch(r"\d{1,9}", text):
        raise FieldError(name, text, "a whole number")
    return int(text)


def json_response(
    value: Any, status: int = 200, revision: int = 0
) -> Response:
    """Return a JSON response; a revision becomes its ETag."""
    response = Response(
        to_json(value) + b"\n", status, content_type="application/json"
    )
    response.headers["Cache-Control"] = "no-store"
    if revision:
        response.set_etag(str(revision))
    return response


class OperatorsApp:
    """WSGI application of the operators' server.

    :param settings: ``[operators]`` limits the size of request bodies.
    :param metrics: counters ``operators.requests``, ``.refused`` and
        ``.errors``.
    :param operations: makes changes.
    :param members: removes members.
    :param config: provides the applied configuration.
    :param audit: records decisions and reads the audit trail.
    :param status: returns the entry's status.
    :param stale_reason: returns why the entry's configuration may be out of
        date, empty if it is fresh.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        operations: Operations,
        members: MemberRemoval,
        config: ConfigSource,
        audit: AuditTrail,
        status: Callable[[], dict[str, Any]],
        stale_reason: Callable[[], str] = lambda: "",
    ):
        """Create the routes."""
        self.settings = settings
        self.metrics = metrics
        self.operations = operations
        self.members = members
        self.config = config
        self.audit = audit
        self.status = status
        self.stale_reason = stale_reason
        rules = [
            Rule("/v1/members", methods=["GET"], endpoint=self.list_members),
            Rule(
                "/v1/members/<name>",
                methods=["DELETE"],
                endpoint=self.remove_member,
            ),
            Rule(
                "/v1/changes/<id>", methods=["GET"], endpoint=self.show_change
            ),
            Rule("/v1/status", methods=["GET"], endpoint=self.show_status),
            Rule("/v1/audit", methods=["GET"], endpoint=self.show_audit),
            Rule(
                "/v1/explain/<kind>/<name>",
                methods=["GET"],
                endpoint=self.explain,
            ),
        ]
        for kind, path in COLLECTIONS.items():
            for suffix, method, endpoint in (
                ("", "GET", self.list_records),
                ("/<name>", "GET", self.show_record),
                ("/<name>", "PUT", self.put_record),
                ("/<name>", "DELETE", self.delete_record),
            ):
                rules.append(
                    Rule(
                        f"/v1/{path}{suffix}",
                        defaults={"kind": kind},
                        methods=[method],
                        endpoint=endpoint,
                    )
                )
        self.routes = Map(rules, redirect_defaults=False, merge_slashes=False)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable:
        """Handle one request; the WSGI entry point."""
        request = Request(environ)
        request.max_content_length = self.settings.operators.body_limit_bytes
        return self.handle_request(request)(environ, start_response)

    def handle_request(self, request: Request) -> Response:
        """Call the handler of a request and turn errors into responses."""
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
            response = json_response({"errors": [fault]}, error.code)
            for name, value in error.get_headers():
                if name in ("Allow", "Retry-After"):
                    response.headers[name] = value
            return response
        except Exception as error:
            status = http_status(error)
            if status == 500:
                self.metrics.incr("operators.errors")
                logger.opt(exception=error).error("operator request failed")
            else:
                self.metrics.incr("operators.refused")
            return json_response({"errors": serialize_error(error)}, status)

    def fresh_view(self) -> ConfigView:
        """Return the applied configuration.

        :raises NotFreshError: if it may be out of date.
        """
        reason = self.stale_reason()
        if reason:
            raise NotFreshError(reason)
        return self.config.view

    def find_record(self, kind: str, name: str) -> dict[str, Any]:
        """Return a record with its revision.

        The revision is read before the record. If the record changes in
        between, the returned revision is the older one, and a change that
        expects it is rejected. In the other order, such a change would
        silently overwrite the newer record.

        :raises NotFoundError: if there is no such record.
        """
        revision = self.config.revision_of(PREFIXES[kind] + name)
        record = getattr(self.config.view, COLLECTIONS[kind]).get(name)
        if record is None:
            raise NotFoundError(kind, name)
        return {"record": record, "revision": revision}

    def list_records(self, request: Request, kind: str) -> Response:
        """Return all records of a kind."""
        view = self.fresh_view()
        items = []
        for name in sorted(getattr(view, COLLECTIONS[kind])):
            try:
                items.append(self.find_record(kind, name))
            except NotFoundError:
                # The record was removed after the view was read.
                continue
        return json_response({"revision": view.revision, "items": items})

    def show_record(self, request: Request, kind: str, name: str) -> Response:
        """Return one record."""
        self.fresh_view()
        item = self.find_record(kind, name)
        return json_response(item, revision=item["revision"])

    def list_members(self, request: Request) -> Response:
        """Return the member list."""
        view = self.fresh_view()
        items = [
            {"record": member, "revision": view.members_revision}
            for member in view.members.members
        ]
        return json_response(
            {"revision": view.members_revision, "items": items}
        )

    def put_record(self, request: Request, kind: str, name: str) -> Response:
        """Create or replace a record."""
        fields = from_json(request.get_data(), "body")
        if not isinstance(fields, dict):
            raise FieldError("body", fields, "a JSON object")
        return self.change_record(request, kind, name, fields)

    def delete_record(
        self, request: Request, kind: str, name: str
    ) -> Response:
        """Remove a record."""
        return self.change_record(request, kind, name, None)

    def change_record(
        self, request: Request, kind: str, name: str, fields: dict | None
    ) -> Response:
        """Create, replace or remove a record.

        :param fields: fields of the record, None to remove it.
        """
        change_id = request.headers.get("Cyclamen-Change") or None

        def apply_change(who: str, why: str) -> Any:
            expected = expected_revision(request)
            return self.operations.change(
                kind, name, fields, who, why, change_id, expected
            )

        inputs = {
            "change_id": change_id or "",
            "fields": to_json(fields).decode()[:MAX_TEXT_LENGTH],
        }
        return self.make_audited_change(
            request, PREFIXES[kind] + name, inputs, apply_change
        )

    def make_audited_change(
        self,
        request: Request,
        key: str,
        inputs: dict[str, Any],
        apply: Callable[[str, str], Any],
    ) -> Response:
        """Make a change; record it in the audit trail if it fails.

        :param key: store key that is changed.
        :param inputs: parameters of the request, for the audit trail.
        :param apply: makes the change, given the operator and the reason.
        """
        who = header_text(request, "Cyclamen-Operator")
        why = request.args.get("why") or header_text(request, "Cyclamen-Why")
        try:
            accepted = apply(who, why)
        except Exception as error:
            codes = [fault["code"] for fault in serialize_error(error)]
            unknown = http_status(error) in (500, 504)
            self.audit.record_decision(
                "change_unknown" if unknown else "change_refused",
                key[:MAX_TEXT_LENGTH],
                "; ".join(str(leaf) for leaf in iter_errors(error)),
                {**inputs, "why": why[:MAX_TEXT_LENGTH], "errors": codes},
                who[:MAX_TEXT_LENGTH],
            )
            raise
        return json_response(accepted, revision=accepted.revision)

    def remove_member(self, request: Request, name: str) -> Response:
        """Remove an entry from the member list."""
        force = request.args.get("force", "no")

        def apply_removal(who: str, why: str) -> Any:
            if force not in ("yes", "no"):
                raise FieldError("force", force, "yes or no")
            accepted = self.members.remove(name, who, why, force == "yes")
            inputs = {"why": why, "force": force}
            self.audit.record_decision(
                "member_removed", name, why, inputs, who
            )
            return accepted

        return self.make_audited_change(
            request, MEMBERS_KEY, {"member": name}, apply_removal
        )

    def show_change(self, request: Request, id: str) -> Response:
        """Return the state of a change."""
        found = self.operations.query(id)
        if found.state == "not_found":
            raise NotFoundError("change", id)
        return json_response(found)

    def show_status(self, request: Request) -> Response:
        """Return the status of the entry."""
        return json_response(self.status())

    def show_audit(self, request: Request) -> Response:
        """Return a page of changes, and the newest decisions."""
        limit = integer_argument(request, "limit", 50)
        page = self.audit.changes(limit, request.args.get("after", ""))
        return json_response(
            {**page._asdict(), "decisions": self.audit.decisions(limit)}
        )

    def explain(self, request: Request, kind: str, name: str) -> Response:
        """Return all records about an instance, pool or request."""
        return json_response(to_plain(self.audit.explain(kind, name)))
