"""Reporting commands: status, audit, explain."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote, urlencode

from cyclamenscale.ui.client import open_client
from cyclamenscale.ui.planning import Group, command, print_json
from cyclamenscale.util.tables import flatten, format_table

CHANGE_COLUMNS = ("when", "revision", "id", "who", "what", "why", "new")
DECISION_COLUMNS = ("when", "revision", "who", "what", "subject", "why")


def show_time(seconds: float) -> str:
    """Format a time as ISO 8601 in UTC, to the second."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def print_trail(response: dict[str, Any]) -> None:
    """Print changes and decisions as tables."""
    for key, columns in (
        ("changes", CHANGE_COLUMNS),
        ("decisions", DECISION_COLUMNS),
    ):
        rows = [
            [
                show_time(item["when_s"])
                if column == "when"
                else item.get(column)
                for column in columns
            ]
            for item in response.get(key, [])
        ]
        print(f"{key}:")
        print(format_table(columns, rows) if rows else "none")


def print_status(entry: str, json: bool) -> None:
    """Print the status of an entry."""
    response = open_client(entry).read("/v1/status")
    if json:
        print_json(response)
    else:
        print(format_table(("name", "value"), flatten(response).items()))


def print_audit(limit: int, after: str, entry: str, json: bool) -> bool:
    """Print changes and decisions.

    :returns: whether there are more changes.
    """
    query = urlencode({"limit": limit, "after": after})
    response = open_client(entry).read(f"/v1/audit?{query}")
    if json:
        print_json(response)
    else:
        print_trail(response)
    return bool(response.get("more"))


def print_explain(kind: str, name: str, entry: str, json: bool) -> None:
    """Print a report on an instance, pool or request."""
    path = f"/v1/explain/{kind}/{quote(name, safe='')}"
    response = open_client(entry).read(path)
    if json:
        print_json(response)
        return
    fields = {
        key: value
        for key, value in response.items()
        if key not in ("changes", "decisions", "steps")
    }
    print(format_table(("name", "value"), flatten(fields).items()))
    if response.get("steps"):
        rows = [
            (step["after_ms"], step["step"], step["detail"])
            for step in response["steps"]
        ]
        print(format_table(("after_ms", "step", "detail"), rows))
    print_trail(response)


class ExplainGroup(Group):
    """Explain the state of an instance, a pool or a request."""

    @command
    def instance(
        self, name: str, *, entry: str = "", json: bool = False
    ) -> None:
        """Show changes and decisions about an instance.

        :param name: name of the instance.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_explain("instance", name, entry, json)

    @command
    def pool(self, name: str, *, entry: str = "", json: bool = False) -> None:
        """Show changes and decisions about a pool.

        :param name: name of the pool.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_explain("pool", name, entry, json)

    @command
    def request(
        self, name: str, *, entry: str = "", json: bool = False
    ) -> None:
        """Show the steps of a recent request.

        :param name: id of the request, from the header Cyclamen-Request;
            only the entry that received it has its steps.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_explain("request", name, entry, json)
