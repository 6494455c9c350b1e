"""Tests of the whole path: real sockets, two entries, stand-ins."""

import pytest

from cyclamenscale.local import CLASSES, POOL, Deployment
from cyclamenscale.local_calls import call
from cyclamenscale.settings import Settings, ShutdownSettings


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


def test_answer_is_whole_and_own(deployment):
    """Guards against answers that belong to another request."""
    for number, entry in enumerate(deployment.entries * 3):
        result = call(entry.callers.address, number, CLASSES[0], 1)
        assert (result.outcome, result.own) == ("answered", True)


def test_key_runs_once_across_entries(deployment):
    """Guards against a second run of a key through another entry."""
    booking = CLASSES[1]
    results = [
        call(entry.callers.address, 1000, booking, 1)
        for entry in deployment.entries
    ]
    assert [each.outcome for each in results] == ["answered"] * 2
    assert [each.own for each in results] == [True] * 2
    runs = [
        run
        for endpoint in deployment.endpoints.values()
        for run in endpoint.log
        if run.key == "request-1000"
    ]
    assert len(runs) == 1


def test_class_in_force_at_every_entry(deployment):
    """Guards against reads at another entry that miss a change."""
    revisions = {each.table.view.revision for each in deployment.entries}
    assert len(revisions) == 1
    assert all(POOL in each.table.view.pools for each in deployment.entries)


def test_unknown_class_is_refused_as_not_run(deployment):
    """Guards against work of classes that nobody created."""
    unknown = CLASSES[0]._replace(name="nobody")
    entry = deployment.entries[0]
    result = call(entry.callers.address, 2000, unknown, 1)
    assert (result.status, result.outcome) == (400, "not_run")
