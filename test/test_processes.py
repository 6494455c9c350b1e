"""Tests of entries that run as processes and are killed, paused or replaced.

Each test checks all requests against the logs of the endpoints. The measured
times are printed; ``pytest -s`` shows them.
"""

import signal
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cyclamenscale.errors import NotAcceptedError
from cyclamenscale.local import POOL
from cyclamenscale.util.rendezvous import choose_node
from test.processes import (
    BOOKING,
    MAX_OUT,
    REPLAN,
    SETTLEMENT,
    Fleet,
    Load,
    outcomes,
    wait_until,
)

#: Targets: failover, and a change in force on all entries.
FAILOVER_S = 10.0
IN_FORCE_S = 12.0

#: Longer than ``freshness.limit_s``, 6 s.
OUTAGE_S = 7.0


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Run eight entries, shared by all tests."""
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start()
        yield fleet
    except BaseException:
        print(fleet.log_tails(), file=sys.stderr)
        raise
    finally:
        fleet.stop()


@pytest.fixture
def fleet(running):
    """Return the fleet with all entries; logs are shown on failure."""
    running.restore()
    yield running
    print(running.log_tails(), file=sys.stderr)


def summarize(times_s):
    """Return the count, median and maximum of some times as text."""
    median_s = statistics.median(times_s)
    return f"n {len(times_s)}, p50 {median_s:.2f} s, max {max(times_s):.2f} s"


def test_killed_entry_is_replaced_in_its_roles(fleet):
    """Guards against roles that stay with a killed entry."""
    victim = choose_node(POOL, fleet.entries)
    pool = next(
        name
        for name in (f"pool-{n}" for n in range(1000))
        if choose_node(name, fleet.entries) == victim
    )
    fleet.put(f"pools/{pool}", {})
    print(f"changes with all entries: {summarize(fleet.change_times_s)}")
    wait_until(
        lambda: fleet.controller_of(pool) == victim, FAILOVER_S, "control"
    )
    others = [each for each in fleet.entries if each != victim]
    with Load(fleet, REPLAN) as replans, Load(fleet, BOOKING) as bookings:
        replans.wait_answered(100, 10)
        killed_s = time.monotonic()
        fleet.entries[victim].kill()
        replans.targets = bookings.targets = others
        executor = ThreadPoolExecutor(len(others))
        changes = [
            executor.submit(fleet.put, f"pools/new-{name}", {}, name)
            for name in others
        ]
        wait_until(
            lambda: (
                not any(
                    victim in fleet.entries[name].status()["peers_alive"]
                    for name in others
                )
            ),
            FAILOVER_S,
            "scheduler roles move",
        )
        scheduler_s = time.monotonic() - killed_s
        wait_until(
            lambda: fleet.controller_of(pool) in others,
            FAILOVER_S - scheduler_s,
            "control moves",
        )
        control_s = time.monotonic() - killed_s
        replans.wait_answered(100, 10)
        bookings.wait_answered(20, 10)
        with executor:
            times = [each.result() for each in changes]
    sent = replans.finished() + bookings.finished()
    print(f"kill: scheduler {scheduler_s:.1f} s, control {control_s:.1f} s")
    print(f"changes after the kill: {summarize(times)}")
    print(f"outcomes: {outcomes(sent)}")
    assert max(times) <= IN_FORCE_S
    assert fleet.violations(sent, frozenset((victim,))) == []
    survivors = [
        each
        for each in replans.finished()
        if each.entry != victim and each.result.outcome != "answered"
    ]
    assert survivors == []


def test_resumed_entry_does_not_serve_the_old_configuration(fleet):
    """Guards against a paused entry that still serves a removed class."""
    retired = REPLAN._replace(name="retired")
    fleet.put_class(retired)
    paused, other = "entry-5", "entry-2"
    assert fleet.send(paused, retired).result.outcome == "answered"
    fleet.entries[paused].signal(signal.SIGSTOP)
    in_force_s = fleet.put("classes/retired", None, other)
    print(f"change with a paused member in force: {in_force_s:.1f} s")
    assert in_force_s <= IN_FORCE_S
    with ThreadPoolExecutor(8) as pool:
        waiting = [pool.submit(fleet.send, paused, retired) for _ in range(8)]
        fleet.entries[paused].signal(signal.SIGCONT)
        sent = [fleet.send(paused, retired) for _ in range(20)]
        sent += [each.result() for each in waiting]
    print(f"outcomes: {outcomes(sent)}")
    assert outcomes(sent) == {"not_run": len(sent)}
    assert fleet.violations(sent) == []
    keys = {f"/{each.result.key}" for each in sent}
    assert not keys & {run.target for run in fleet.runs()}
    wait_until(
        lambda: fleet.send(paused, REPLAN).result.outcome == "answered",
        FAILOVER_S,
        "the entry serves again",
    )


def test_work_and_changes_without_the_store(fleet):
    """Guards against lost or repeated work in an outage of the store."""
    with Load(fleet, REPLAN) as replans, Load(fleet, BOOKING) as bookings:
        bookings.wait_answered(50, 10)
        fleet.store.down()
        down_s = time.monotonic()
        with pytest.raises(NotAcceptedError):
            fleet.put_class(REPLAN, "entry-1", finish_within_ms=2500)
        wait_until(
            lambda: time.monotonic() - down_s > OUTAGE_S,
            OUTAGE_S + 1,
            "the outage is longer than the freshness limit",
        )
        replans.wait_answered(50, 5)
        up_s = time.monotonic()
        fleet.store.up()
        bookings.wait_answered(50, 15)
        in_force_s = fleet.put_class(REPLAN, "entry-1", finish_within_ms=2100)
        fleet.store.faults.set(lose_share=0.5)
        lossy_s = time.monotonic()
        lost = fleet.counter_sum("claims.answers_lost")
        bookings.wait_answered(60, 20)
        fleet.store.faults.set(lose_share=0.0)
        lost = fleet.counter_sum("claims.answers_lost") - lost
        bookings.wait_answered(20, 15)
        replans.wait_answered(50, 5)
    known = {e.result.key for e in bookings.finished() if e.began_s <= down_s}
    in_outage = [
        each
        for each in bookings.finished()
        if each.began_s > down_s
        and each.ended_s < up_s
        and each.result.key not in known
    ]
    lossy = [each for each in bookings.finished() if each.began_s > lossy_s]
    sent = replans.finished() + bookings.finished()
    print(f"change after the outage in force: {in_force_s:.1f} s")
    print(f"repeatable: {outcomes(replans.finished())}")
    for each in replans.finished():
        if each.result.outcome != "answered":
            began_s = each.began_s - up_s
            print(f"{began_s:.2f} s after the outage: {each}")
    print(f"new keys in the outage: {outcomes(in_outage)}")
    print(f"keys with {lost:.0f} lost answers: {outcomes(lossy)}")
    assert lost > 0
    assert in_force_s <= IN_FORCE_S
    assert outcomes(replans.finished()).keys() == {"answered"}
    assert outcomes(in_outage).keys() == {"not_run"}
    assert fleet.violations(sent) == []


def test_silent_connections_of_an_endpoint(fleet):
    """Guards against requests that hang on half-open connections."""
    with Load(fleet, REPLAN) as replans, Load(fleet, BOOKING) as bookings:
        replans.wait_answered(300, 10)
        silenced = fleet.endpoints["node-3"]
        silenced.go_silent()
        assert silenced.silent
        replans.wait_answered(300, 20)
        bookings.wait_answered(50, 20)
    sent = replans.finished() + bookings.finished()
    print(f"repeatable: {outcomes(replans.finished())}")
    print(f"not repeatable: {outcomes(bookings.finished())}")
    assert outcomes(replans.finished()).keys() == {"answered"}
    assert outcomes(bookings.finished()).keys() <= {"answered", "unknown"}
    assert fleet.violations(sent) == []


def test_entry_is_replaced_without_a_lost_request(fleet):
    """Guards against requests interrupted by a graceful shutdown."""
    leaving = fleet.entries["entry-4"]
    with (
        Load(fleet, REPLAN) as replans,
        Load(fleet, BOOKING) as bookings,
        Load(fleet, SETTLEMENT) as settlements,
    ):
        loads = (replans, bookings, settlements)
        settlements.wait_answered(1, 10)
        bookings.wait_answered(30, 10)
        leaving.signal(signal.SIGTERM)
        wait_until(lambda: leaving.health() == 503, 3, "/health turns 503")
        late = [fleet.send(leaving.name, REPLAN) for _ in range(3)]
        others = [each for each in fleet.entries if each != leaving.name]
        for load in loads:
            load.targets = others
        replacement = fleet.add_entry("entry-9")
        fleet.write_settings(replacement)
        replacement.start()
        status = leaving.process.wait(20)
        del fleet.entries[leaving.name]
        fleet.wait_admitting()
        fleet.wait_usable()
        for load in loads:
            load.targets = list(fleet.entries)
        bookings.wait_answered(30, 10)
    leaving.close()
    sent = late + [each for load in loads for each in load.finished()]
    print(f"outcomes: {outcomes(sent)}")
    assert status == 0
    assert outcomes(sent).keys() == {"answered"}
    assert fleet.violations(sent) == []


def test_new_version_reaches_all_instances(fleet):
    """Guards against a roll-out that interrupts work or exceeds the budget."""
    memory = fleet.platform.memory
    began_s = time.monotonic()
    first = fleet.store.state.revision + 1
    with (
        Load(fleet, REPLAN) as replans,
        Load(fleet, BOOKING) as bookings,
        Load(fleet, SETTLEMENT) as settlements,
    ):
        loads = (replans, bookings, settlements)
        settlements.wait_answered(1, 10)
        fleet.put(f"pools/{POOL}", {"version": "v2"})
        wait_until(
            lambda: all(
                each.listed.version == "v2"
                for each in memory.instances.values()
            ),
            60,
            "all instances run v2",
        )
        fleet.wait_usable()
        rollout_s = time.monotonic() - began_s
    sent = [each for load in loads for each in load.finished()]
    most = most_out(fleet, first)
    print(f"roll-out {rollout_s:.1f} s, at most {most} out")
    print(f"outcomes: {outcomes(sent)}")
    assert 0 < most <= MAX_OUT
    assert all(len(e.actions) == 1 for e in memory.instances.values())
    assert sum(e.cut_requests for e in memory.instances.values()) == 0
    assert runs_started_in_reboot(fleet) == []
    assert outcomes(sent).keys() == {"answered"}
    assert fleet.violations(sent) == []


def most_out(fleet, first):
    """Return how many instances were out at once, from the store's events."""
    prefix = b"config/instance/"
    _, events = fleet.store.state.events_from(
        prefix, b"config/instance0", first
    )
    out, most = set(), 0
    for event in events:
        name = event.key.removeprefix(prefix)
        if b'"live"' in event.value:
            out.discard(name)
        else:
            out.add(name)
        most = max(most, len(out))
    return most


def runs_started_in_reboot(fleet):
    """Return requests that an instance started while it was rebooting."""
    memory = fleet.platform.memory
    found = []
    for name, endpoint in fleet.endpoints.items():
        up_s = memory.instances[name].running_since_s
        with endpoint.changed:
            found += [
                run
                for run in endpoint.log
                if up_s - memory.reboot_s <= run.started_s < up_s
            ]
    return found


def test_entry_restarts_without_the_store(fleet):
    """Guards against a restart that needs the store or loses changes."""
    fleet.put_class(REPLAN, finish_within_ms=2200)
    name = "entry-6"
    others = [each for each in fleet.entries if each != name]
    revision = max(fleet.entries[each].status()["revision"] for each in others)
    with Load(fleet, REPLAN, 4) as replans:
        replans.targets = others
        fleet.store.down()
        fleet.entries[name].kill()
        began_s = time.monotonic()
        fleet.entries[name].start()
        wait_until(
            lambda: fleet.entries[name].health() == 200, 25, "it admits work"
        )
        serves_s = time.monotonic() - began_s
        status = fleet.entries[name].status()
        late = [fleet.send(name, REPLAN) for _ in range(10)]
    fleet.store.up()
    print(f"serves after {serves_s:.1f} s at {status['revision']}")
    sent = late + replans.finished()
    print(f"outcomes: {outcomes(sent)}")
    assert status["revision"] == revision
    assert outcomes(sent).keys() == {"answered"}
    assert fleet.violations(sent) == []
