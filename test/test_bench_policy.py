"""Tests of the policy benchmark."""

from collections import defaultdict

import pytest

from cyclamenscale.bench import policy
from cyclamenscale.bench.simulation import Fault, Simulation
from cyclamenscale.bench.trace import (
    DEPLOYMENTS,
    PEAK_FACTOR,
    make_trace,
    mean_arrival_rates,
)
from cyclamenscale.errors import NotFoundError
from cyclamenscale.requests.scheduling import POLICIES, find_policy
from cyclamenscale.util.rendezvous import choose_node

SECONDS = 6.0
ENTRIES = [f"entry-{index}" for index in range(6)]
#: Entry that schedules the pool whose demand peak comes first.
SCHEDULING_ENTRY = ENTRIES.index(choose_node("pool-0", ENTRIES))


def test_same_seed_gives_the_same_tables(tmp_path):
    """Guards against results that depend on more than the seed."""
    paths = [tmp_path / "a.html", tmp_path / "b.html"]
    texts = [policy.run(3, "szlifrail", str(path), SECONDS) for path in paths]
    assert texts[0] == texts[1]
    assert paths[0].read_text() == paths[1].read_text()
    for name in policy.POLICY_NAMES:
        assert name in texts[0]


def test_arrivals_alternate_between_pools():
    """Guards against a trace without demand peaks."""
    size = DEPLOYMENTS["szlifrail"]
    trace = make_trace(size, 1, 40.0)
    assert trace == make_trace(size, 1, 40.0)
    counts = defaultdict(int)
    for request in trace:
        peak_pool = int(request.at_s / 4) % size.pools
        counts[request.pool == peak_pool] += 1
    # Eight seconds of peak and 32 off-peak, for each of five pools.
    expected = sum(mean_arrival_rates(size)) * PEAK_FACTOR * 8 * size.pools
    assert counts[True] == pytest.approx(expected, rel=0.1)
    assert counts[False] == pytest.approx(expected * 0.04, rel=0.3)


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_no_policy_loses_a_request_or_overfills_an_endpoint(name):
    """Guards against waits that look good because work is dropped."""
    size = DEPLOYMENTS["szlifrail"]
    trace = make_trace(size, 2, SECONDS)
    simulation = Simulation(size, trace, 2)
    most = []
    reach = simulation.run_or_queue

    def checked_run_or_queue(request, endpoint, with_latency):
        reach(request, endpoint, with_latency)
        simulated = simulation.endpoints[request.pool][endpoint]
        most.append(simulated.running)
        # These policies grant free slots, so no endpoint may queue a request.
        if name in ("central", "pool_scheduler"):
            assert not simulated.queue

    simulation.run_or_queue = checked_run_or_queue
    simulation.run(find_policy(name)(simulation), SECONDS + policy.DRAIN_S)
    assert max(most) <= size.slots
    for outcome in simulation.outcomes:
        ended = (outcome.end_s is not None) + (outcome.refused_s is not None)
        assert ended == 1


@pytest.mark.parametrize("kind", ["pause", "death"])
def test_requests_of_other_entries_survive_a_fault(kind):
    """Guards against requests that hang when the scheduling entry fails."""
    size = DEPLOYMENTS["szlifrail"]
    trace = make_trace(size, 2, SECONDS)
    for entry in (0, SCHEDULING_ENTRY):
        simulation = Simulation(size, trace, 2, Fault(kind, entry, 1.5))
        made = find_policy("pool_scheduler")(simulation)
        simulation.run(made, SECONDS + policy.DRAIN_S)
        for outcome in simulation.outcomes:
            if outcome.entry != entry:
                assert outcome.end_s or outcome.refused_s


def test_unknown_deployment_is_a_typed_error():
    """Guards against a KeyError for an unknown deployment name."""
    with pytest.raises(NotFoundError):
        policy.run(1, "nowhere")
