"""Tests of placement decisions: index, policies, overload, quarantine."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from cyclamenscale.errors import FieldError, JobImpossibleError
from cyclamenscale.fleet.ports import Resources, TaskReport
from cyclamenscale.placing.job_records import JobRecord, JobSpec
from cyclamenscale.placing.overload import (
    RunningTask,
    choose_overload_actions,
    choose_throttle_to_lift,
)
from cyclamenscale.placing.placement import (
    PLACEMENT_POLICIES,
    GroupSpread,
    make_policy,
    sort_by_urgency,
    within_quota,
)
from cyclamenscale.placing.quarantine import FailureTracker
from cyclamenscale.placing.usage_history import UsageHistory
from cyclamenscale.placing.worker_index import MAX_SCANNED_WORKERS, WorkerIndex

LARGE = Resources(64, 256, 4)


def policy_with_workers(name: str, *capacities: Resources):
    """Create a policy for workers w0, w1, ... in three data centres."""
    index = WorkerIndex(Random(1))
    for number, capacity in enumerate(capacities):
        index.put(
            f"w{number}",
            f"d{number % 3}",
            f"r{number % 2}",
            capacity,
            capacity,
            True,
        )
    return make_policy(name, index, UsageHistory(0.9, 100), GroupSpread())


def job_spec(processors=1.0, memory_gb=1.0, accelerators=0, **fields):
    declared = Resources(processors, memory_gb, accelerators)
    return JobSpec("j", "north", "t1", "k1", declared)._replace(**fields)


amounts = st.builds(
    Resources,
    st.sampled_from([0.05, 0.3, 1.0, 3.7, 16.0, 64.0]),
    st.sampled_from([0.05, 0.9, 4.0, 33.0, 256.0]),
    st.integers(0, 4),
)


@given(
    free=st.lists(amounts, min_size=1, max_size=30),
    required=amounts,
    seed=st.integers(0, 3),
)
@hypothesis_settings(max_examples=200)
def test_index_finds_a_worker_if_and_only_if_one_fits(free, required, seed):
    """Guards against overcommitted workers and free capacity not found."""
    index = WorkerIndex(Random(seed))
    for number, each in enumerate(free):
        index.put(f"w{number}", "d", "r", LARGE, LARGE, number % 5 != 4)
        index.set_free(index.workers[f"w{number}"], each)
    found = index.candidates(required)
    assert all(required.fits(each.free) and each.available for each in found)
    assert bool(found) == any(
        required.fits(each) for n, each in enumerate(free) if n % 5 != 4
    )
    for name in list(index.workers):
        index.remove(name)
    assert not index.buckets and not index.capacity_counts


def test_scan_reaches_each_worker_in_bounded_steps():
    """Guards against workers that a bounded scan never reaches."""
    index = WorkerIndex(Random(1))
    count = 4 * MAX_SCANNED_WORKERS
    for number in range(count):
        capacity = Resources(48, 40 if number == count - 1 else 33)
        index.put(f"w{number}", "d", "r", capacity, capacity, True)
    tries = [index.candidates(Resources(1, 40)) for _ in range(5)]
    assert any(tries)


@pytest.mark.parametrize("name", sorted(PLACEMENT_POLICIES))
@pytest.mark.parametrize(
    "required, resource",
    [
        ((65, 1, 0), "processors"),
        ((1, 257, 0), "memory_gb"),
        ((1, 1, 9), "accelerators"),
        ((60, 1, 8), "combination"),
    ],
)
def test_impossible_job_names_the_resource(name, required, resource):
    """Guards against a rejection that does not name the resource."""
    policy = policy_with_workers(
        name, Resources(64, 256), Resources(32, 64, 8)
    )
    with pytest.raises(JobImpossibleError) as caught:
        policy.place(job_spec(*required))
    assert caught.value.resource == resource
    assert resource in str(caught.value)


def test_job_is_possible_while_workers_are_full_or_unlisted():
    """Guards against rejecting jobs while workers are full or unlisted."""
    policy = policy_with_workers("observed", LARGE)
    policy.index.reserve("w0", LARGE)
    assert policy.place(job_spec(8)) is None
    assert policy_with_workers("observed").place(job_spec(999)) is None


def test_observed_sizes_replace_declared_ones():
    """Guards against waste and overload by inaccurate declared sizes."""
    policy = policy_with_workers("observed", Resources(8, 8))
    for _ in range(20):
        policy.history.add("t1", "k1", Resources(4, 4), Resources(1, 2))
        policy.history.add("t2", "k1", Resources(1, 1), Resources(3, 3))
    assert policy.required_resources(job_spec(4, 4)) == Resources(1, 2)
    assert policy.required_resources(job_spec(4, 4, team="t2")) == Resources(
        8, 8
    )
    assert policy.required_resources(job_spec(1, 1, team="t2")) == Resources(
        3, 3
    )
    baseline = policy_with_workers("first_fit_declared", Resources(8, 8))
    assert baseline.required_resources(job_spec(4, 4)) == Resources(4, 4)


def test_history_is_bounded():
    """Guards against memory use that grows with the number of job kinds."""
    history = UsageHistory(0.9, 10)
    for number in range(100):
        size = Resources(1, 1)
        history.add("t", f"k{number}", size, size)
    assert len(history.samples) == 10
    assert history.dropped_groups == 190


def test_tasks_of_a_group_are_spread():
    """Guards against losing a whole group with one rack or data centre."""
    policy = policy_with_workers("observed", *[LARGE] * 12)
    used = []
    for _ in range(6):
        found = policy.place(job_spec())
        worker = policy.index.workers[found.worker]
        policy.index.reserve(found.worker, found.allocated)
        policy.spread.add("t1/k1", worker)
        used.append((worker.data_centre, worker.rack, worker.name))
    assert {each[0] for each in used[:3]} == {"d0", "d1", "d2"}
    assert len({each[:2] for each in used}) == 6


def test_workers_with_accelerators_are_kept_free():
    """Guards against accelerators blocked by jobs that do not use them."""
    plain = Resources(64, 256)
    policy = policy_with_workers("observed", *[LARGE, plain] * 10)
    for _ in range(20):
        found = policy.place(job_spec())
        assert policy.index.workers[found.worker].capacity == plain


def test_avoided_workers_are_not_chosen():
    """Guards against a retry on a worker on which the job failed."""
    for name in PLACEMENT_POLICIES:
        policy = policy_with_workers(name, LARGE, LARGE)
        for _ in range(10):
            assert policy.place(job_spec(), ("w0",)).worker == "w1"
        assert policy.place(job_spec(), ("w0", "w1")) is None


def test_unknown_policy_raises_a_field_error():
    """Guards against an untyped error for a wrong policy name."""
    with pytest.raises(FieldError):
        policy_with_workers("best_guess")


def test_urgency_order_and_quota():
    """Guards against delayed urgent jobs and exceeded quotas."""
    jobs = [
        JobRecord(job_spec(id=f"j{n}", urgency=n % 2), submitted_s=n)
        for n in range(4)
    ]
    order = [each.spec.id for each in sort_by_urgency(reversed(jobs))]
    assert order == ["j0", "j2", "j1", "j3"]
    limit = Resources(2, 2)
    assert within_quota(limit, Resources(1, 1), Resources(1, 1))
    assert not within_quota(limit, Resources(1, 1), Resources(1, 1.1))
    assert not within_quota(limit, Resources(), Resources(1, 1, 1))
    assert within_quota(None, limit, limit)


def running_task(urgency, used, share=1.0, **fields):
    spec = job_spec(urgency=urgency, **fields)
    name = f"t{urgency}"
    return RunningTask(spec, TaskReport(name, "running", used, share))


def test_overload_actions_affect_the_least_urgent_tasks():
    """Guards against ending urgent or at-most-once tasks."""
    tasks = [
        running_task(0, Resources(1, 10)),
        running_task(1, Resources(1, 10)),
        running_task(2, Resources(1, 10), can_checkpoint=True),
        running_task(3, Resources(1, 10), at_most_once=True),
    ]
    found = choose_overload_actions(
        tasks, Resources(4, 40), Resources(8, 24), 1.0
    )
    assert [(e.kind, e.task) for e in found] == [
        ("checkpoint", "t2"),
        ("stop", "t1"),
    ]
    found = choose_overload_actions(
        tasks, Resources(9, 20), Resources(8.8, 24), 1.0
    )
    assert [(e.kind, e.task) for e in found] == [("throttle", "t3")]


def test_throttle_is_lifted_when_usage_is_low():
    """Guards against tasks that stay throttled forever."""
    tasks = [
        running_task(1, Resources(1, 1), 0.25),
        running_task(2, Resources(1, 1)),
    ]
    (found,) = choose_throttle_to_lift(tasks, Resources(2, 2), Resources(8, 8))
    assert (found.task, found.share) == ("t1", 1.0)
    assert not choose_throttle_to_lift(tasks, Resources(7, 2), Resources(8, 8))


def test_bad_workers_and_bad_jobs_are_distinguished():
    """Guards against quarantine due to one faulty job or team."""
    failures = FailureTracker(3, 3, 0.1)
    for _ in range(10):
        failures.record_failure("w1", "poison", "t1")
    assert not failures.is_bad_worker("w1")
    for job in ("a", "b", "c"):
        failures.record_failure("w2", job, "t1")
    assert not failures.is_bad_worker("w2")
    failures.record_failure("w2", "d", "t2")
    assert failures.is_bad_worker("w2")
    failures.discard_job("d")
    assert not failures.is_bad_worker("w2")
    failures.record_success("w2")
    assert "w2" not in failures.by_worker
    assert failures.is_bad_job(("w1", "w2", "w3"), set())
    assert not failures.is_bad_job(("w1", "w2", "w3"), {"w3"})
    assert failures.may_quarantine(0, 5)
    assert not failures.may_quarantine(1, 19)
    assert failures.may_quarantine(1, 20)
