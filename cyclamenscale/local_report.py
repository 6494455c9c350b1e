"""Checks the outcomes of requests against the endpoints' logs."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenscale.local_calls import CallResult
from cyclamenscale.standin.endpoint import RunRecord
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.tables import format_table

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
    """Counts for the requests of one class; a row of the report's table."""

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
    """Outcomes of all requests.

    :ivar lines: one line for each class.
    """

    lines: tuple[ClassLine, ...]

    @property
    def violations(self) -> list[str]:
        """Return a message for each violated guarantee."""
        return [
            f"{line.name}: {getattr(line, field)} {text}"
            for line in self.lines
            for field, text in (
                ("lost", "requests without an outcome"),
                (
                    "cut",
                    "responses incomplete or of another request",
                ),
                ("doubled", "requests that ran more than once"),
                (
                    "false_not_run",
                    "requests that ran but were reported as not run",
                ),
            )
            if getattr(line, field)
        ]

    def table(self) -> str:
        """Return the report as a text table."""
        rows = [
            [*line[:-2], f"{line[-2]:.1f}", f"{line[-1]:.1f}"]
            for line in self.lines
        ]
        return format_table(COLUMNS, rows)


def build_report(
    results: Iterable[CallResult],
    runs: Iterable[RunRecord],
    classes: Iterable[str],
) -> Report:
    """Compare the outcomes that callers received with the endpoints' logs.

    A request that was reported as "not run" must not have run, unless its
    key was sent a second time and ran then.

    :param results: outcomes of the calls.
    :param runs: the logs of all endpoints.
    :param classes: names of the classes, in the order of the table.
    """
    results = list(results)
    runs = list(runs)
    by_key = Counter(run.key for run in runs if run.key)
    by_id = Counter(run.request_id for run in runs)
    lines = []
    for name in classes:
        class_results = [each for each in results if each.class_name == name]
        outcomes = Counter(each.outcome for each in class_results)
        answered = [
            each for each in class_results if each.outcome == "answered"
        ]
        waits = [each.wait_ms for each in answered]
        lines.append(
            ClassLine(
                name,
                len(class_results),
                len(answered),
                outcomes["not_run"],
                outcomes["unknown"],
                outcomes["lost"],
                sum(not each.matches_request for each in answered),
                sum(
                    by_key[key] > 1
                    for key in {each.key for each in class_results}
                ),
                sum(
                    each.outcome == "not_run" and by_id[each.request_id] > 0
                    for each in class_results
                ),
                quantile(waits, 0.5),
                quantile(waits, 0.99),
            )
        )
    return Report(tuple(lines))
