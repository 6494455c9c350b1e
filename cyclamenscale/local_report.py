"""Accounts for the requests of a run against the endpoints' logs."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenscale.local_calls import CallResult
from cyclamenscale.standin.endpoint import RunRecord
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.tables import table

COLUMNS = (
    "class",
    "sent",
    "answered",
    "not run",
    "unknown",
    "lost",
    "cut",
    "doubled",
    "false not run",
    "p50 wait ms",
    "p99 wait ms",
)


class ClassLine(NamedTuple):
    """The requests of one class; the fields are the table's columns."""

    name: str
    sent: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    cut: int
    doubled: int
    false_not_run: int
    wait_p50_ms: float
    wait_p99_ms: float


class Report(NamedTuple):
    """Outcome of a run.

    :ivar lines: one for each class.
    """

    lines: tuple[ClassLine, ...]

    @property
    def violations(self) -> list[str]:
        """Return a line for each broken promise."""
        return [
            f"{line.name}: {getattr(line, field)} {text}"
            for line in self.lines
            for field, text in (
                ("lost", "requests without an outcome"),
                ("cut", "answers that were not whole or not their own"),
                ("doubled", "requests that ran more than once"),
                ("false_not_run", "requests that ran but were told not run"),
            )
            if getattr(line, field)
        ]

    def table(self) -> str:
        """Return the table for people."""
        rows = [
            [*line[:-2], f"{line[-2]:.1f}", f"{line[-1]:.1f}"]
            for line in self.lines
        ]
        return table(COLUMNS, rows)


def build_report(
    results: Iterable[CallResult],
    runs: Iterable[RunRecord],
    classes: Iterable[str],
) -> Report:
    """Compare what callers were told with what endpoints ran.

    A key that was told "not run" must not have run, unless the same key was
    sent a second time and ran then.

    :param results: what the callers got.
    :param runs: the logs of all endpoints.
    :param classes: names of the classes, in the order of the table.
    """
    results = list(results)
    runs = list(runs)
    by_key = Counter(run.key for run in runs if run.key)
    by_id = Counter(run.request_id for run in runs)
    lines = []
    for name in classes:
        mine = [each for each in results if each.class_name == name]
        outcomes = Counter(each.outcome for each in mine)
        answered = [each for each in mine if each.outcome == "answered"]
        waits = [each.wait_ms for each in answered]
        lines.append(
            ClassLine(
                name,
                len(mine),
                len(answered),
                outcomes["not_run"],
                outcomes["unknown"],
                outcomes["lost"],
                sum(not each.matches_request for each in answered),
                sum(by_key[key] > 1 for key in {each.key for each in mine}),
                sum(
                    each.outcome == "not_run" and by_id[each.request_id] > 0
                    for each in mine
                ),
                quantile(waits, 0.5),
                quantile(waits, 0.99),
            )
        )
    return Report(tuple(lines))
