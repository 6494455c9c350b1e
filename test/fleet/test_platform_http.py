"""Tests of the platform adapter against the stand-in server."""

import pytest

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
)
from cyclamenscale.fleet.http_platform import HttpPlatform
from cyclamenscale.fleet.ports import PlatformInstance, open_platform
from cyclamenscale.settings import PlatformSettings, Settings
from cyclamenscale.standin.platform import PlatformServer
from cyclamenscale.util.clock import VirtualClock

FIRST = PlatformInstance("i/1", "127.0.0.1:1", "dc-1", "rack-1", 8)
SECOND = PlatformInstance("i2", "127.0.0.1:2", "dc-2", "rack-2", 4)


@pytest.fixture
def clock():
    return VirtualClock(100.0)


@pytest.fixture
def server(clock):
    server = PlatformServer(clock=clock, lag_s=2.0, reboot_s=30.0)
    server.add(FIRST)
    server.start()
    yield server
    server.stop()


def platform_for(server, timeout_s=5.0):
    settings = PlatformSettings(
        address=server.address, call_timeout_s=timeout_s
    )
    return open_platform(Settings(platform=settings))


def test_the_list_shows_changes_only_after_the_lag(server, clock):
    """Guards against a stand-in whose list does not lag as the real one."""
    platform = platform_for(server)
    assert isinstance(platform, HttpPlatform)
    assert platform.list_instances() == [FIRST]
    server.add(SECOND)
    server.set_leaving("i/1", True)
    assert platform.list_instances() == [FIRST]
    clock.advance(2.0)
    leaving = FIRST._replace(leaving=True)
    assert platform.list_instances() == [leaving, SECOND]
    server.remove("i/1")
    platform.list_instances()
    clock.advance(2.0)
    assert platform.list_instances() == [SECOND]


def test_a_reboot_runs_once_for_its_id_and_obeys_the_fence(server, clock):
    """Guards against a repeated reboot and one by a superseded controller."""
    platform = platform_for(server)
    for _ in range(2):
        platform.reboot("i/1", "v2", "p/1", 7)
    assert not platform.status("i/1").running
    clock.advance(30.0)
    status = platform.status("i/1")
    assert (status.running, status.version) == (True, "v2")
    assert status.last_action == "p/1"
    with pytest.raises(StaleFenceError):
        platform.reboot("i/1", "", "p/2", 6)
    with pytest.raises(NotFoundError):
        platform.reboot("none", "", "p/3", 7)
    with pytest.raises(NotFoundError):
        platform.status("none")
    assert server.memory.instances["i/1"].actions == ["p/1"]


@pytest.mark.parametrize("refuse", [True, False])
def test_an_outage_is_reported_and_keeps_address_and_state(server, refuse):
    """Guards against an outage that is returned as an empty list."""
    platform = platform_for(server)
    address = server.address
    server.down(refuse=refuse)
    with pytest.raises(PlatformUnavailableError):
        platform.list_instances()
    server.up()
    assert server.address == address
    assert platform.list_instances() == [FIRST]


def test_a_slow_answer_ends_at_the_timeout(server):
    """Guards against a poll that blocks while the platform does not answer."""
    server.slow_s = 60.0
    with pytest.raises(PlatformUnavailableError):
        platform_for(server, timeout_s=0.1).list_instances()


def test_an_unchanged_list_is_not_sent_again(server, clock, monkeypatch):
    """Guards against transferring the whole list at each poll."""
    platform = platform_for(server)
    answers = []
    fetch = platform.fetch

    def recording_fetch(*args, **options):
        answers.append(fetch(*args, **options))
        return answers[-1]

    monkeypatch.setattr(platform, "fetch", recording_fetch)
    assert platform.list_instances() == [FIRST]
    assert platform.list_instances() == [FIRST]
    assert [answer[0] for answer in answers] == [200, 304]
    assert answers[1][1] == b""
    server.add(SECOND)
    platform.list_instances()
    clock.advance(2.0)
    assert platform.list_instances() == [FIRST, SECOND]
