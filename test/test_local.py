"""End-to-end tests: two entries and stand-ins on real sockets."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from cyclamenscale.local import CLASSES, POOL, Deployment
from cyclamenscale.local_calls import call
from cyclamenscale.settings import Settings, ShutdownSettings
from cyclamenscale.util.clock import monotonic
from test.nodes import eventually

#: Four endpoints have 32 slots; an entry has 64 threads for callers.
MORE_THAN_SLOTS = 60


@pytest.fixture(scope="module")
def deployment():
    """Run a deployment with two entries and four endpoints."""
    settings = Settings(shutdown=ShutdownSettings(unready_s=0.1))
    running = Deployment(settings=settings)
    try:
        running.start()
        running.configure()
        running.wait_usable()
        yield running
    finally:
        running.stop()


def test_response_is_complete_and_matches_request(deployment):
    """Guards against responses that belong to another request."""
    for number, entry in enumerate(deployment.entries * 3):
        result = call(entry.callers.address, number, CLASSES[0], 1)
        assert (result.outcome, result.matches_request) == ("answered", True)


def test_key_runs_once_across_entries(deployment):
    """Guards against a key that runs again through another entry."""
    booking = CLASSES[1]
    results = [
        call(entry.callers.address, 1000, booking, 1)
        for entry in deployment.entries
    ]
    assert [each.outcome for each in results] == ["answered"] * 2
    assert [each.matches_request for each in results] == [True] * 2
    runs = [
        run
        for endpoint in deployment.endpoints.values()
        for run in endpoint.log
        if run.key == "request-1000"
    ]
    assert len(runs) == 1


def test_class_in_force_at_every_entry(deployment):
    """Guards against an entry that misses a change made at another."""
    revisions = {each.table.view.revision for each in deployment.entries}
    assert len(revisions) == 1
    assert all(POOL in each.table.view.pools for each in deployment.entries)


def send_and_disconnect(address: str, target: str) -> None:
    """Send a request and close the connection before the response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            f"GET {target} HTTP/1.1\r\nHost: entry\r\n"
            "Cyclamen-Class: rebuild\r\n\r\n".encode()
        )


def test_caller_that_disconnects_frees_its_slot(deployment):
    """Guards against slots in use for callers that have disconnected."""
    entries = deployment.entries
    with ThreadPoolExecutor(MORE_THAN_SLOTS) as pool:
        running = [
            pool.submit(
                call,
                entries[number % 2].callers.address,
                3000 + number,
                CLASSES[2],
                600,
            )
            for number in range(MORE_THAN_SLOTS)
        ]
        for entry in entries:
            control = entry.dispatcher.admission
            eventually(
                lambda control=control: (
                    control.in_progress == MORE_THAN_SLOTS // 2
                ),
                "all requests are in progress",
            )
        send_and_disconnect(entries[0].callers.address, "/abandoned")
        eventually(
            lambda: entries[0].metrics.snapshot().get("slots.callers_gone"),
            "the closed connection is detected",
        )
        assert {each.result().outcome for each in running} == {"answered"}
    targets = {
        run.target
        for endpoint in deployment.endpoints.values()
        for run in endpoint.log
    }
    assert "/abandoned" not in targets


def test_unknown_class_is_refused_as_not_run(deployment):
    """Guards against requests of unknown classes being run."""
    unknown = CLASSES[0]._replace(name="nobody")
    entry = deployment.entries[0]
    result = call(entry.callers.address, 2000, unknown, 1)
    assert (result.status, result.outcome) == (400, "not_run")


def test_signal_of_one_entry_excludes_an_endpoint_at_all(deployment):
    """Guards against an entry that ignores the signals of others."""
    first, second = deployment.entries
    leaving = deployment.endpoints["node-1"]
    leaving.leaving = True
    try:
        number = 4000
        while not leaving.refused:
            number += 1
            assert number < 4500
            result = call(first.callers.address, number, CLASSES[0], 1)
            assert result.outcome == "answered"
        eventually(
            lambda: (
                "node-1" not in second.health.pool(POOL).usable(monotonic())
            ),
            "the other entry excludes the endpoint",
        )
    finally:
        leaving.leaving = False
