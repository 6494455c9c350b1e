"""Commands on classes, pools, instances, members and changes."""

import getpass
import os
from typing import Any
from urllib.parse import quote

from cyclamenscale.errors import NotFoundError
from cyclamenscale.ui.client import OPERATOR_VARIABLE, open_client
from cyclamenscale.ui.planning import Group, command, print_json
from cyclamenscale.util.tables import flatten, format_table

#: Path and columns of the list of each kind of record.
LISTS: dict[str, tuple[str, tuple[str, ...]]] = {
    "class": (
        "/v1/classes",
        ("name", "pool", "finish_within_ms", "max_out_share", "repeatable"),
    ),
    "pool": ("/v1/pools", ("name", "spare", "version")),
    "instance": ("/v1/instances", ("name", "pool", "state")),
    "member": (
        "/v1/members",
        ("name", "incarnation", "address", "data_centre", "leaving"),
    ),
}


def record_path(kind: str, name: str) -> str:
    """Return the URL path of a record."""
    return f"{LISTS[kind][0]}/{quote(name, safe='')}"


def operator(who: str) -> str:
    """Return the operator: from the flag, the environment or the user id."""
    if who or OPERATOR_VARIABLE in os.environ:
        return who or os.environ[OPERATOR_VARIABLE]
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The user id has no name; the server then asks for one.
        return ""


def print_list(kind: str, entry: str, json: bool) -> None:
    """Print all records of a kind."""
    path, columns = LISTS[kind]
    response = open_client(entry).read(path)
    if json:
        print_json(response)
        return
    rows = [
        [item["record"].get(column) for column in columns] + [item["revision"]]
        for item in response["items"]
    ]
    print(format_table([*columns, "revision"], rows))


def print_fields(response: dict[str, Any], json: bool) -> None:
    """Print a response as a table of fields and values."""
    if json:
        print_json(response)
    else:
        print(format_table(("field", "value"), flatten(response).items()))


def print_accepted(response: dict[str, Any], json: bool) -> None:
    """Print the outcome of a change."""
    if json:
        print_json(response)
    else:
        print(
            f"accepted as change {response['change_id']}, revision "
            f"{response['revision']}, in force after "
            f"{response['in_force_s']:.2f} s"
        )


def put(
    kind: str,
    name: str,
    fields: dict[str, Any],
    entry: str,
    json: bool,
    **change: Any,
) -> None:
    """Set the given fields of a record; the others stay unchanged.

    The change expects the revision that was read, so that it cannot undo
    another operator's change made in between.
    """
    client = open_client(entry)
    given = {key: value for key, value in fields.items() if value is not None}
    revision = change.pop("expected_revision")
    try:
        found = client.read(record_path(kind, name))
        old = {key: found["record"][key] for key in fields}
        current = found["revision"]
    except NotFoundError:
        old, current = {}, 0
    response = client.change(
        "PUT",
        record_path(kind, name),
        {**old, **given},
        expected_revision=current if revision is None else revision,
        **{**change, "who": operator(change["who"])},
    )
    print_accepted(response, json)


def delete(kind: str, name: str, entry: str, json: bool, **change) -> None:
    """Remove a record."""
    change["who"] = operator(change["who"])
    client = open_client(entry)
    response = client.change("DELETE", record_path(kind, name), **change)
    print_accepted(response, json)


class RecordGroup(Group):
    """Commands for all kinds of records."""

    _kind = ""

    @command
    def show(self, name: str, *, entry: str = "", json: bool = False) -> None:
        """Show one record with its revision.

        :param name: name of the record.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        client = open_client(entry)
        print_fields(client.read(record_path(self._kind, name)), json)

    @command
    def list(self, *, entry: str = "", json: bool = False) -> None:
        """List all records.

        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_list(self._kind, entry, json)

    @command
    def remove(
        self,
        name: str,
        *,
        why: str = "",
        who: str = "",
        change_id: str = "",
        expected_revision: int | None = None,
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Remove a record.

        :param name: name of the record.
        :param why: reason, kept in the audit trail; required.
        :param who: operator; by default CYCLAMENSCALE_OPERATOR or the user.
        :param change_id: id of an earlier attempt at the same change.
        :param expected_revision: reject if the record has another revision.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        delete(
            self._kind,
            name,
            entry,
            json,
            why=why,
            who=who,
            change_id=change_id,
            expected_revision=expected_revision,
        )


class ClassGroup(RecordGroup):
    """Classes of requests and their targets."""

    _kind = "class"

    @command
    def set(
        self,
        name: str,
        *,
        pool: str = None,
        finish_within_ms: int | None = None,
        max_out_share: float | None = None,
        repeatable: bool | None = None,
        why: str = "",
        who: str = "",
        change_id: str = "",
        expected_revision: int | None = None,
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Create or change a class; fields not given stay unchanged.

        :param name: name of the class.
        :param pool: pool whose instances run it.
        :param finish_within_ms: time within which its requests must finish.
        :param max_out_share: share of the pool that may be out of service at
            once, 0 to 1.
        :param repeatable: whether a request may run more than once.
        :param why: reason, kept in the audit trail; required.
        :param who: operator; by default CYCLAMENSCALE_OPERATOR or the user.
        :param change_id: id of an earlier attempt at the same change.
        :param expected_revision: reject if the record has another revision.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        fields = {
            "pool": pool,
            "finish_within_ms": finish_within_ms,
            "max_out_share": max_out_share,
            "repeatable": repeatable,
        }
        put(
            "class",
            name,
            fields,
            entry,
            json,
            why=why,
            who=who,
            change_id=change_id,
            expected_revision=expected_revision,
        )


class PoolGroup(RecordGroup):
    """Pools of instances."""

    _kind = "pool"

    @command
    def set(
        self,
        name: str,
        *,
        spare: bool | None = None,
        version: str = None,
        why: str = "",
        who: str = "",
        change_id: str = "",
        expected_revision: int | None = None,
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Create or change a pool; fields not given stay unchanged.

        :param name: name of the pool.
        :param spare: whether it lends instances to the other pools.
        :param version: software version its instances should reach.
        :param why: reason, kept in the audit trail; required.
        :param who: operator; by default CYCLAMENSCALE_OPERATOR or the user.
        :param change_id: id of an earlier attempt at the same change.
        :param expected_revision: reject if the record has another revision.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        put(
            "pool",
            name,
            {"spare": spare, "version": version},
            entry,
            json,
            why=why,
            who=who,
            change_id=change_id,
            expected_revision=expected_revision,
        )


class InstanceGroup(RecordGroup):
    """Instances and the pool that each belongs to."""

    _kind = "instance"

    @command
    def assign(
        self,
        name: str,
        pool: str,
        *,
        why: str = "",
        who: str = "",
        change_id: str = "",
        expected_revision: int | None = None,
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Assign an instance to a pool.

        :param name: name of the instance, as in the platform's list.
        :param pool: name of the pool.
        :param why: reason, kept in the audit trail; required.
        :param who: operator; by default CYCLAMENSCALE_OPERATOR or the user.
        :param change_id: id of an earlier attempt at the same change.
        :param expected_revision: reject if the record has another revision.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        put(
            "instance",
            name,
            {"pool": pool},
            entry,
            json,
            why=why,
            who=who,
            change_id=change_id,
            expected_revision=expected_revision,
        )


class MemberGroup(Group):
    """Entries that take part in the barrier of changes."""

    @command
    def list(self, *, entry: str = "", json: bool = False) -> None:
        """List the members.

        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_list("member", entry, json)

    @command
    def remove(
        self,
        name: str,
        *,
        why: str = "",
        who: str = "",
        force: bool = False,
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Remove a permanently lost entry from the member list.

        :param name: name of the entry.
        :param why: reason, kept in the audit trail; required.
        :param who: operator; by default CYCLAMENSCALE_OPERATOR or the user.
        :param force: proceed without a majority, if most entries are
            permanently lost; unsafe if one of them is still running.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        response = open_client(entry).change(
            "DELETE",
            record_path("member", name),
            who=operator(who),
            why=why,
            options={"force": "yes"} if force else {},
        )
        print_accepted(response, json)


class ChangeGroup(Group):
    """Changes to the configuration."""

    @command
    def show(self, id: str, *, entry: str = "", json: bool = False) -> None:
        """Show the outcome of a change.

        :param id: id of the change.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        path = "/v1/changes/" + quote(id, safe="")
        print_fields(open_client(entry).read(path), json)
