"""Tests that docs/metrics.md lists the metrics that the code reports."""

import ast
import re
from pathlib import Path

import cyclamenscale

SOURCE = Path(cyclamenscale.__file__).parent
PAGE = SOURCE.parent / "docs" / "metrics.md"
CALLS = ("incr", "gauge", "timing")


def name_of(node):
    """Return a literal name, with ``NAME`` for each formatted part."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(
            part.value if isinstance(part, ast.Constant) else "NAME"
            for part in node.values
        )
    return ""


def names_in_code():
    """Return the names passed to incr, gauge and timing, and where.

    Calls of ``count`` helpers with a dotted name are included.
    """
    found = {}
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and node.args):
                continue
            call = getattr(node.func, "attr", "")
            options = [node.args[0]]
            if isinstance(options[0], ast.IfExp):
                options = [options[0].body, options[0].orelse]
            for name in map(name_of, options):
                dotted = call == "count" and "." in name
                if name and (call in CALLS or dotted):
                    where = f"{path.relative_to(SOURCE)}:{node.lineno}"
                    found.setdefault(name, where)
    return found


def names_on_page():
    """Return the names that the page lists."""
    rows = re.findall(r"^\| `([^`]+)` \| [^|]+ \| *\S", PAGE.read_text(), re.M)
    return set(rows)


def test_every_metric_of_the_code_is_on_the_page():
    """Guards against metrics that are not documented."""
    known = names_on_page()
    missing = {k: v for k, v in names_in_code().items() if k not in known}
    assert not missing


def test_the_page_lists_no_metric_that_is_gone():
    """Guards against alarms on a metric that is no longer reported."""
    assert names_on_page() <= set(names_in_code())
