"""Configuration of the tests.

hypothesis draws the same examples in every run. The tests that KNOWN-RED.txt
lists are expected to fail: they reproduce faults that are not fixed yet.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

#: Prefix of the line that names the test of an entry.
TEST_FIELD = "test: "


def read_known_red() -> set[str]:
    """Return the node ids of the tests that fail for a known fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    }


def pytest_collection_modifyitems(items):
    """Mark the known failures; one that passes fails the run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(
                    reason="listed in KNOWN-RED.txt",
                    raises=AssertionError,
                    strict=True,
                )
            )


def pytest_terminal_summary(terminalreporter):
    """Print the known failures of this run."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")
