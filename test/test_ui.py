"""Tests of the command line, run in process against a stand-in server."""

import json
import os
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest
from cheroot.wsgi import Server
from loguru import logger

from cyclamenscale import ui
from cyclamenscale.errors import (
    ComponentFailedError,
    ConflictError,
    FieldError,
    NotAcceptedError,
    NotFoundError,
    OutcomeUnknownError,
    UnreachableError,
)
from cyclamenscale.settings import Settings
from cyclamenscale.settings_schema import render_docs
from cyclamenscale.ui.client import Answer, AttemptError, Client, attempt
from cyclamenscale.util.log import set_up
from cyclamenscale.util.tables import format_table
from test.configuration.test_operators import Entry

CHANGE = ["--why", "test", "--who", "Živa"]


@pytest.fixture
def entry(monkeypatch):
    """Serve a stand-in for an entry on a free port."""
    entry = Entry()
    server = Server(("127.0.0.1", 0), entry.app)
    # The interval at which cheroot checks whether it should stop.
    server.expiration_interval = 0.02
    server.prepare()
    pool = ThreadPoolExecutor(1)
    served = pool.submit(server.serve)
    address = f"127.0.0.1:{server.bind_addr[1]}"
    monkeypatch.setenv("CYCLAMENSCALE_ENTRY", address)
    yield entry
    server.stop()
    served.result(30)
    pool.shutdown()


def closed_address():
    """Return an address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_a_record_is_set_shown_listed_and_removed(entry, capsys):
    """Guards against a change that loses, converts or resets a field."""
    pool = ["pool", "set", "p1", *CHANGE]
    assert ui.run([*pool, "--version", "1.10"]) == 0
    assert ui.run([*pool, "--spare"]) == 0
    kind, name, fields, who, why, id, expected = entry.calls[-1]
    assert fields == {"spare": True, "version": "1.10"}
    assert (who, why, expected) == ("Živa", "test", 2)
    assert id > entry.calls[0][5] and entry.calls[0][6] == 0
    assert "accepted as change" in capsys.readouterr().out
    assert ui.run(["pool", "show", "p1", "--json"]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["record"] == {"name": "p1", "spare": True, "version": "1.10"}
    assert ui.run(["pool", "list"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["name", "spare", "version", "revision"]
    assert lines[1].split() == ["p1", "yes", "1.10", "3"]
    assert ui.run(["pool", "remove", "p1", *CHANGE]) == 0
    assert ui.run(["pool", "show", "p1"]) == 1


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (FieldError("f", 1, "2"), 2),
        (NotFoundError("pool", "p"), 1),
        (ConflictError("k", {"a": 1}, None, 4), 3),
        (NotAcceptedError("i", "store down"), 4),
        (OutcomeUnknownError("i", "late"), 5),
        (ZeroDivisionError(), 7),
    ],
)
def test_a_refusal_ends_with_its_exit_status(entry, capsys, error, status):
    """Guards against scripts that mistake an error for a success."""
    entry.error = error
    assert ui.run(["pool", "set", "p1", *CHANGE]) == status
    found = capsys.readouterr()
    assert found.out == ""
    assert len(found.err.splitlines()) == 1
    if status < 7:
        assert found.err == f"cyclamenscale: {error}\n"


def test_all_faults_are_written_one_a_line(entry, capsys):
    """Guards against a command that reports only the first error."""
    entry.error = ExceptionGroup(
        "two", [FieldError("f", 1, "2"), FieldError("g", 3, "4")]
    )
    assert ui.run(["pool", "set", "p1", *CHANGE]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split()[1] for line in lines] == ["f:", "g:"]


@pytest.mark.parametrize(
    "argv",
    [
        ["pool", "set", "p1", *CHANGE, "--bogus", "1"],
        ["pool", "set", "p1", *CHANGE, "--bogus"],
        ["pool", "set", "p1", "extra", *CHANGE],
        ["pool", "set", *CHANGE],
        ["pool", "nonsense"],
        ["nonsense"],
        ["status", "--bogus"],
        ["pool", "set", "p1", "--who", "a\nb", "--why", "x"],
        ["pool", "list", "--entry", "nowhere"],
    ],
)
def test_a_mistyped_command_changes_nothing(entry, capsys, argv):
    """Guards against a change that runs before all flags are parsed."""
    assert ui.run(argv) == 2
    assert entry.calls == []
    assert "Traceback" not in capsys.readouterr().err


GROUPS = {
    "class": ("set", "show", "list", "remove"),
    "pool": ("set", "show", "list", "remove"),
    "instance": ("assign", "show", "list", "remove"),
    "member": ("list", "remove"),
    "explain": ("instance", "pool", "request"),
    "change": ("show",),
    "settings": ("check", "docs", "show"),
    "bench": ("policy", "path", "capacity"),
}
SINGLE = (["entry"], ["local"], ["status"], ["audit"], [])


@pytest.mark.parametrize(
    "argv",
    [*SINGLE, *([g, c] for g, commands in GROUPS.items() for c in commands)],
    ids="-".join,
)
def test_every_command_has_help(capsys, monkeypatch, argv):
    """Guards against commands without help, and internals in the help."""
    monkeypatch.setenv("PAGER", "cat")
    assert ui.run([*argv, "--help"]) == 0
    found = capsys.readouterr()
    text = found.out + found.err
    assert "DESCRIPTION" in text or "cyclamenscale" in text
    assert "FIRE_METADATA" not in text


def test_reports_are_tables_or_json(entry, capsys):
    """Guards against reports that are neither tables nor valid JSON."""
    assert ui.run(["status"]) == 0
    assert "entry.name  e1" in capsys.readouterr().out
    entry.audit.record_decision(
        "outage_started", "i1", "1 of 3 out", {"pool": "p1"}
    )
    assert ui.run(["audit"]) == 0
    assert "1 of 3 out" in capsys.readouterr().out
    assert ui.run(["explain", "pool", "p1", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["decisions"][0]["number"] == 1
    assert ui.run(["explain", "instance", "i1"]) == 0
    assert "outage_started" in capsys.readouterr().out
    assert ui.run(["change", "show", "known"]) == 0
    assert "accepted" in capsys.readouterr().out
    assert ui.run(["member", "list"]) == 0
    assert ui.run(["member", "remove", "e9", *CHANGE, "--force"]) == 0
    assert entry.calls[-1] == ("member", "e9", "Živa", "test", True)
    assert ui.run(["explain", "request", "gone"]) == 1


def test_the_next_address_is_tried_if_one_does_not_listen(entry):
    """Guards against a failed entry that blocks all commands."""
    several = f"{closed_address()},{os.environ['CYCLAMENSCALE_ENTRY']}"
    assert ui.run(["pool", "set", "p1", *CHANGE, "--entry", several]) == 0
    assert len(entry.calls) == 1
    assert ui.run(["pool", "list", "--entry", closed_address()]) == 6


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\n"])
def test_a_call_knows_whether_it_was_sent(answer):
    """Guards against a change that was sent but is reported as unsent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        url = f"http://127.0.0.1:{listener.getsockname()[1]}/"

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(answer)

        with ThreadPoolExecutor(1) as pool:
            served = pool.submit(serve)
            with pytest.raises(AttemptError) as caught:
                attempt("PUT", url, b"{}", [], 30)
            served.result(30)
    assert caught.value.sent
    with pytest.raises(AttemptError) as caught:
        attempt("PUT", f"http://{closed_address()}/", b"{}", [], 30)
    assert not caught.value.sent


def scripted(*outcomes):
    """Return a fake call with scripted outcomes, and the list of its calls."""
    calls, left = [], list(outcomes)

    def call(method, url, body, headers, timeout_s):
        calls.append((url.split("/")[2], headers))
        outcome = left.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    return call, calls


LOST = AttemptError("timed out", sent=True)
UNSENT = AttemptError("refused", sent=False)
GOOD = Answer(200, {"change_id": "x"})
REFUSED = Answer(409, {"errors": [{"code": "http", "message": "no"}]})
BUSY = Answer(503, {"outcome": "not_run"})


@pytest.mark.parametrize(
    ("outcomes", "want"),
    [
        ((LOST, GOOD), None),
        ((UNSENT, LOST, BUSY, GOOD), None),
        ((LOST, LOST, LOST, LOST), OutcomeUnknownError),
        ((LOST, UNSENT, UNSENT, UNSENT), OutcomeUnknownError),
        ((LOST, REFUSED), OutcomeUnknownError),
        ((UNSENT, UNSENT, UNSENT, UNSENT), UnreachableError),
        ((BUSY, BUSY, BUSY, BUSY), UnreachableError),
    ],
)
def test_a_repeated_change_keeps_its_id(outcomes, want):
    """Guards against a change made twice, or reported as not made."""
    call, calls = scripted(*outcomes)
    client = Client(["a:1", "b:1"], call)
    if want:
        with pytest.raises(want):
            client.change("PUT", "/v1/pools/p", {}, "ana", "test")
    else:
        client.change("PUT", "/v1/pools/p", {}, "ana", "test")
    assert len({tuple(headers) for _, headers in calls}) == 1
    assert [address for address, _ in calls] == ["a:1", "b:1", "a:1", "b:1"][
        : len(outcomes)
    ]


def test_a_read_goes_on_to_an_entry_that_is_fresh():
    """Guards against a partitioned entry that hides the others."""
    call, calls = scripted(BUSY, Answer(200, {"items": []}))
    assert Client(["a:1", "b:1"], call).read("/v1/pools") == {"items": []}
    assert len(calls) == 2


def test_settings_commands(capsys, tmp_path):
    """Guards against errors that are found only when the entry starts."""
    path = tmp_path / "entry.ini"
    path.write_text("[entry]\nname = -\n[log]\nlevel = X\n")
    assert ui.run(["settings", "check", str(path)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
    assert ui.run(["entry", "--settings", str(path)]) == 2
    capsys.readouterr()
    assert ui.run(["settings", "docs"]) == 0
    assert capsys.readouterr().out == render_docs(Settings)
    path.write_text("[entry]\nname = e7\n")
    assert ui.run(["settings", "check", str(path)]) == 0
    capsys.readouterr()
    assert ui.run(["settings", "show", str(path), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["entry"]["name"] == "e7"


def test_tables_keep_the_digits_of_times():
    """Guards against times that lose digits in a table."""
    rows = [("a", 1796374895.5), ("b", 2)]
    assert format_table(("name", "s"), rows).splitlines() == [
        "name             s",
        "a     1796374895.5",
        "b                2",
    ]


def test_a_failed_component_ends_with_a_status_of_its_own(capsys):
    """Guards against a failed entry that exits like a stopped one."""
    assert ui.report(ComponentFailedError("root/peers", 5)) == 70
    assert "root/peers" in capsys.readouterr().err


def test_log_lines_in_json_are_one_line_each(capsys):
    """Guards against tracebacks that span several lines of a JSON log."""
    settings = Settings()
    settings = settings._replace(log=settings.log._replace(json=True))
    set_up(settings)
    try:
        logger.opt(exception=ValueError("bad\nvalue")).warning("failed")
        (line,) = capsys.readouterr().err.splitlines()
    finally:
        logger.remove()
    found = json.loads(line)
    assert (found["level"], found["entry"]) == ("WARNING", "entry-1")
    assert found["error"] == "ValueError: bad\nvalue"
