"""Tests of the merge of instance records and platform list."""

import pytest

from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.model import ConfigView, InstanceRecord, PoolRecord
from cyclamenscale.requests.directory import Directory
from cyclamenscale.util.clock import VirtualClock


def view(revision=1, **pools):
    """Return a configuration with instances given as (pool, state)."""
    records = {n: InstanceRecord(n, p, s) for n, (p, s) in pools.items()}
    named = {n: PoolRecord(n) for n in ("p", "q")}
    return ConfigView(revision, {}, named, records)


def listed(*names, leaving=()):
    return [
        PlatformInstance(n, f"h:{n}", "dc", "r", 4, n in leaving)
        for n in names
    ]


def make_directory(config, instances):
    directory = Directory(VirtualClock())
    directory.update_config(config)
    directory.update_list(instances)
    return directory


@pytest.mark.parametrize(
    "state", ["draining", "rebooting", "moving", "failed", "other"]
)
def test_only_live_records_get_work(state):
    """Guards against new work for instances that are being maintained."""
    directory = make_directory(
        view(a=("p", state), b=("p", "live")), listed("a", "b")
    )
    assert [e.name for e in directory.endpoints("p")] == ["b"]
    assert directory.view.leaving == {"a": "p"}


def test_either_source_makes_an_instance_leave():
    """Guards against new work for an instance that the list shows leaving."""
    config = view(a=("p", "live"), b=("p", "live"))
    directory = make_directory(config, listed("a", "b", leaving=("a",)))
    assert directory.find("a") is None
    assert directory.find("b").slots == 4
    # A duplicate in the list must not hide that the instance is leaving.
    twice = listed("a", leaving=("a",)) + listed("a", "b")
    directory.update_list(twice)
    assert directory.find("a") is None


def test_the_record_decides_the_pool():
    """Guards against an instance in two pools during a move."""
    directory = make_directory(view(a=("p", "live")), listed("a"))
    directory.update_config(view(2, a=("q", "live")))
    assert directory.endpoints("p") == ()
    assert directory.find("a").pool == "q"


def test_an_older_configuration_changes_nothing():
    """Guards against going back to an older configuration."""
    directory = make_directory(view(5, a=("p", "live")), listed("a"))
    assert not directory.update_config(view(4, a=("q", "live")))
    assert directory.find("a").pool == "p"


def test_instances_missing_on_one_side_get_no_work():
    """Guards against endpoints without an address or without a pool."""
    directory = make_directory(
        view(a=("p", "live"), b=("gone", "live")), listed("b", "c")
    )
    assert directory.view.by_name == {}
    assert directory.view.unlisted == {"a"}


def test_the_last_list_is_kept():
    """Guards against empty pools while the platform list is unavailable."""
    directory = make_directory(view(a=("p", "live")), listed("a"))
    directory.clock.advance(3600.0)
    directory.update_config(view(2, a=("p", "live"), b=("p", "live")))
    assert directory.find("a") and directory.list_age_s() == 3600.0
