"""Tests of a whole job entry against the stand-in platform."""

import threading

import pycurl
import pytest
from msgspec import json

from cyclamenscale.jobs.keys import LEADER
from cyclamenscale.platform.program import Program
from cyclamenscale.settings import (
    EntrySettings,
    JobsSettings,
    PlatformSettings,
    Settings,
    StoreSettings,
)
from cyclamenscale.standin.state import RangeOp
from cyclamenscale.util.curl import new_curl
from test.platform.standin import PlatformStandIn

JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "mem-mb": 10}]}
ID = "00000000000000a1"
OTHER = "00000000000000b2"
TIMEOUT_S = 20.0


class Entry:
    """A job entry in this process, with its servers."""

    def __init__(self, platform, name="e1", store="", processors=0.0):
        """Start the loop and the servers."""
        address = platform.server.address
        settings = Settings(
            entry=EntrySettings(name=name, processors=processors),
            store=StoreSettings(address=store or address),
            platform=PlatformSettings(address=address),
            jobs=JobsSettings(look_s=0.1, watch_ms=300, lease_ttl_ms=1000),
        )
        self.program = Program(settings)
        self.program.events.fd = -1
        self.thread = threading.Thread(
            target=self.program.loop.run, daemon=True
        )
        self.program.callers_server.start()
        self.program.ready_server.start()
        self.thread.start()
        self.program.loop.submit(self.program.entry.start)

    def call(self, method, path, body=None, host="plan.example"):
        """Send a caller's request; return status and body."""
        url = f"http://{self.program.callers_server.address}{path}"
        curl = new_curl(url, 5000)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, [f"Host: {host}"])
        if body is not None:
            data = body if isinstance(body, bytes) else json.encode(body)
            curl.setopt(pycurl.POSTFIELDS, data)
        response = curl.perform_rb()
        return curl.getinfo(pycurl.RESPONSE_CODE), response

    def wait_for(self, check):
        """Wait until a check, made in the loop's thread, succeeds."""
        succeeded = threading.Event()

        def poll():
            if check():
                succeeded.set()
            else:
                self.program.loop.call_later(0.02, poll)

        self.program.loop.submit(poll)
        assert succeeded.wait(TIMEOUT_S)

    def stop(self):
        """Stop the servers and the loop."""
        self.program.callers_server.stop(0.5)
        self.program.ready_server.stop(0.5)
        self.program.loop.submit(self.program.entry.peer_calls.close)
        self.program.loop.stop()
        self.thread.join(5.0)


@pytest.fixture
def platform():
    standin = PlatformStandIn()
    standin.server.start()
    standin.second_server.start()
    yield standin
    standin.second_server.stop()
    standin.server.stop()


@pytest.fixture
def entry(platform):
    found = Entry(platform)
    found.wait_for(found.program.entry.is_ready)
    yield found
    found.stop()


@pytest.fixture
def refused_entry(platform, entry):
    """Return a second entry whose requests the store refuses."""
    found = Entry(platform, "e2", platform.second_server.address)
    found.wait_for(found.program.entry.is_ready)
    found.wait_for(lambda: found.program.entry.relay.peers)
    entry.wait_for(lambda: entry.program.entry.relay.peers)
    links = found.program.entry.peer_calls

    def ask_peers():
        return [
            links.request(address, b"", 1.0)
            for address in list(links.connections)
        ]

    def is_connected():
        # Even a malformed request gets a response once the link works.
        outcomes.extend(ask_peers())
        return any(o.done() and not o.exception() for o in outcomes)

    outcomes = []
    found.wait_for(is_connected)
    platform.second_refuses = True
    yield found
    found.stop()


def indexed_job(entry, job=ID):
    """Return the job's record in the entry's job index, if there is one."""
    return entry.program.entry.job_index.jobs.get(job)


def test_a_job_is_accepted_runs_and_is_shown_as_completed(entry):
    """Guards against faults anywhere on the path of a job."""
    assert entry.call("POST", f"/replan/{ID}", JOB)[0] == 200
    entry.wait_for(
        lambda: indexed_job(entry) and indexed_job(entry).state == "done"
    )
    status, body = entry.call("GET", f"/replan/{ID}")
    assert (status, json.decode(body)) == (200, {"state": "completed"})
    status, body = entry.call("GET", "/replan/")
    assert (status, json.decode(body)) == (200, {"pending": 0})


def test_the_same_id_again_is_the_same_job(entry):
    """Guards against a job that runs twice because it is submitted twice."""
    assert entry.call("POST", f"/replan/{ID}", JOB)[0] == 200
    first = indexed_job(entry).revision
    assert entry.call("POST", f"/replan/{ID}", JOB)[0] == 200
    assert indexed_job(entry).revision == first


def test_unknown_queues_and_unknown_jobs_are_distinguished(entry):
    """Guards against reporting an unknown queue as an unknown job."""
    assert entry.call("GET", f"/replan/{ID}")[0] == 410
    assert entry.call("DELETE", f"/replan/{ID}")[0] == 410
    assert entry.call("GET", f"/other/{ID}")[0] == 404
    assert entry.call("GET", "/replan/", host="no.example")[0] == 404


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        {"spec": "x", "steps": []},
        {"spec": 5, "steps": [{}]},
        {"spec": "x" * 4001, "steps": [{}]},
        {"spec": "x", "steps": [{"after": [0]}]},
        {"spec": "x", "steps": [{"count": -1}]},
        {"spec": "x", "steps": [{"cpu": -5}]},
        {"spec": "x", "steps": [{"cpu": "many"}]},
    ],
)
def test_a_malformed_job_is_refused_and_changes_nothing(entry, body):
    """Guards against storing invalid input."""
    assert entry.call("POST", f"/replan/{ID}", body)[0] == 400
    assert indexed_job(entry) is None


def test_a_malformed_id_is_refused(entry):
    """Guards against store keys that callers choose freely."""
    assert entry.call("POST", "/replan/x-y", JOB)[0] == 400


def test_a_job_is_refused_while_the_store_is_unavailable(entry, platform):
    """Guards against accepting a job that is not stored."""
    platform.mode = "refuse"
    status, body = entry.call("POST", f"/replan/{ID}", JOB)
    assert status == 503
    assert json.decode(body)["error"] == "not_accepted"
    platform.mode = "up"
    _, found = platform.state.read(RangeOp(b"cyclamen/job/" + ID.encode()))
    assert not found.items


def test_a_lost_response_of_the_store_is_not_a_refusal(entry, platform):
    """Guards against reporting a stored job as not accepted."""
    platform.mode = "lost"
    outcome = []

    def submit():
        outcome.append(entry.call("POST", f"/replan/{ID}", JOB)[0])

    thread = threading.Thread(target=submit)
    thread.start()
    key = b"cyclamen/job/" + ID.encode()
    entry.wait_for(lambda: platform.state.read(RangeOp(key))[1].items)
    platform.mode = "up"
    thread.join(TIMEOUT_S)
    assert outcome == [200]


def test_a_cancelled_job_ends_as_cancelled(entry, platform):
    """Guards against cancellations that are confirmed but not executed."""
    platform.task_s = 600.0
    entry.call("POST", f"/replan/{ID}", JOB)
    entry.wait_for(lambda: any(w.runs for w in platform.workers.values()))
    assert entry.call("DELETE", f"/replan/{ID}")[0] == 200
    entry.wait_for(lambda: not any(w.runs for w in platform.workers.values()))
    status, body = entry.call("GET", f"/replan/{ID}")
    assert json.decode(body) == {"state": "cancelled"}


def test_another_entry_takes_over_and_finishes_the_job(entry, platform):
    """Guards against jobs that are lost with their leader."""
    platform.task_s = 2.0
    entry.wait_for(lambda: entry.program.entry.coordinator)
    entry.call("POST", f"/replan/{ID}", JOB)
    entry.wait_for(lambda: any(w.runs for w in platform.workers.values()))
    other = Entry(platform, "e2")
    try:
        entry.program.loop.submit(entry.program.entry.drain)
        other.wait_for(lambda: other.program.entry.coordinator)
        other.wait_for(
            lambda: indexed_job(other) and indexed_job(other).state == "done"
        )
        _, found = platform.state.read(RangeOp(LEADER.encode()))
        assert found.items[0].value == b"e2"
        status, body = other.call("GET", f"/replan/{ID}")
        assert json.decode(body) == {"state": "completed"}
    finally:
        other.stop()


def test_a_small_leader_resigns_at_the_request_of_a_larger_entry(platform):
    """Guards against a request to lead that is lost between two entries."""
    small = Entry(platform, "e1", processors=0.5)
    large = None
    try:
        small.wait_for(lambda: small.program.entry.coordinator)
        large = Entry(platform, "e2", processors=2.0)
        large.wait_for(large.program.entry.is_ready)
        small.wait_for(lambda: len(small.program.entry.job_index.entries) == 2)
        large.program.loop.submit(large.program.entry.request_lead)
        large.wait_for(lambda: large.program.entry.coordinator)
        small.wait_for(lambda: not small.program.entry.coordinator)
    finally:
        small.stop()
        if large:
            large.stop()


def test_an_older_manifest_does_not_replace_a_newer_one(entry, platform):
    """Guards against an older manifest that arrives late."""
    from test.platform.standin import MANIFEST

    newer = MANIFEST | {"version": 9, "routes": []}
    platform.write("op/config", newer)
    entry.wait_for(lambda: entry.program.entry.manifest.version == 9)
    platform.write("op/config", MANIFEST)
    platform.write("op/config", {"version": "unreadable"})
    entry.wait_for(
        lambda: (
            entry.program.entry.operator_watch.revision
            >= platform.state.revision
        )
    )
    assert entry.program.entry.manifest.version == 9
    assert entry.call("GET", "/replan/")[0] == 404


def test_a_draining_entry_is_not_ready(entry):
    """Guards against callers that are sent to a stopping entry."""
    assert entry.program.entry.is_ready()
    entry.program.loop.submit(entry.program.entry.drain).result(TIMEOUT_S)
    assert not entry.program.entry.is_ready()


def test_a_call_at_a_stopping_entry_is_answered_in_time(entry, platform):
    """Guards against a request that is cut off when the entry exits."""
    entry.program.loop.submit(entry.program.entry.drain).result(TIMEOUT_S)
    platform.mode = "lost"
    assert entry.call("POST", f"/replan/{ID}", JOB)[0] == 504
    platform.mode = "up"


def test_changed_settings_are_checked_on_sighup(entry, tmp_path):
    """Guards against settings faults that only show at the next start."""
    program = entry.program
    events = []
    program.events.note = lambda kind, **fields: events.append((kind, fields))
    path = tmp_path / "entry.ini"
    program.path = str(path)
    for text, found in (
        ("[jobs]\nhold_s = 4\n", "in force from the next start"),
        ("[jobs]\nhold_s = long\n", "not usable"),
    ):
        path.write_text(text)
        program.on_hup(1, None)
        entry.wait_for(
            lambda found=found: any(
                kind == "entry.reload" and fields["outcome"].startswith(found)
                for kind, fields in events
            )
        )


def test_an_entry_that_the_store_refuses_serves_its_callers(
    entry, refused_entry
):
    """Guards against refused requests and stale states at one entry.

    The store refuses some entries and serves the others.
    """
    refused_entry.wait_for(refused_entry.program.entry.is_watch_behind)
    assert refused_entry.call("POST", f"/replan/{ID}", JOB)[0] == 200
    entry.wait_for(
        lambda: indexed_job(entry) and indexed_job(entry).state == "done"
    )
    status, body = refused_entry.call("GET", f"/replan/{ID}")
    assert (status, json.decode(body)) == (200, {"state": "completed"})
    assert refused_entry.call("GET", f"/replan/{OTHER}")[0] == 410
    assert refused_entry.call("DELETE", f"/replan/{ID}")[0] == 200
