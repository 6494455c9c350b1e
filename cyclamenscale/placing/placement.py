"""Policies that choose a worker and an allocation for a job's task.

The policies only decide; :mod:`cyclamenscale.placing.placer` reads and writes
the records. A policy registers under a name with :func:`placement_policy`.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from cyclamenscale.errors import FieldError, JobImpossibleError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.placing.job_records import JobRecord, JobSpec
from cyclamenscale.placing.usage_history import UsageHistory
from cyclamenscale.placing.worker_index import IndexedWorker, WorkerIndex

#: Tolerance for rounding errors in sums of allocations.
ROUNDING_SLACK = 1e-6


class Placement(NamedTuple):
    """The worker and the allocation chosen for a job's task.

    :ivar worker: name of the worker.
    :ivar allocated: resources to allocate on the worker.
    """

    worker: str
    allocated: Resources


class GroupSpread:
    """Task counts of each group of jobs by failure domain."""

    def __init__(self):
        """Initialise with no tasks."""
        self.counts: Counter[tuple[str, str]] = Counter()

    def add(self, group: str, worker: IndexedWorker, delta: int = 1) -> None:
        """Count a task that starts or, with a delta of -1, one that ends."""
        for domain in failure_domains(worker):
            self.counts[group, domain] += delta
            if not self.counts[group, domain]:
                del self.counts[group, domain]

    def task_counts(
        self, group: str, worker: IndexedWorker
    ) -> tuple[int, int, int]:
        """Return a group's task counts in a worker's failure domains.

        :returns: counts for the data centre, the rack and the worker.
        """
        data_centre, rack, name = failure_domains(worker)
        counts = self.counts
        return (
            counts[group, data_centre],
            counts[group, rack],
            counts[group, name],
        )


def failure_domains(worker: IndexedWorker) -> tuple[str, str, str]:
    """Return the failure domains of a worker, from largest to smallest."""
    data_centre = worker.data_centre
    return (
        data_centre,
        f"{data_centre}/{worker.rack}",
        f"{data_centre}//{worker.name}",
    )


def spread_group(spec: JobSpec) -> str:
    """Return the group with whose tasks a job's task is spread."""
    return spec.group or f"{spec.team}/{spec.kind}"


class PlacementPolicy(ABC):
    """Base class of policies that decide where tasks run.

    :param index: the pool's workers by free resources.
    :param history: observed usage of tasks.
    :param spread: task counts of each group by failure domain.
    """

    def __init__(
        self, index: WorkerIndex, history: UsageHistory, spread: GroupSpread
    ):
        """Initialise with the inputs of the decisions."""
        self.index = index
        self.history = history
        self.spread = spread

    @abstractmethod
    def required_resources(self, spec: JobSpec) -> Resources:
        """Return the resources to allocate to a job's task."""

    @abstractmethod
    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose a worker, or return None if no suitable one was found.

        :param spec: the job.
        :param avoid: names of workers to exclude.
        :raises JobImpossibleError: if no worker could run the job, even
            when idle.
        """

    def check_possible(self, spec: JobSpec, required: Resources) -> None:
        """Raise an error if no worker could run the job, even when idle.

        While no worker is listed, no job counts as impossible.

        :param spec: the job.
        :param required: resources that its task needs.
        :raises JobImpossibleError: with the first resource that is
            insufficient on every worker.
        """
        if not self.index.capacity_counts or self.index.has_capacity_for(
            required
        ):
            return
        largest = self.index.largest_capacity()
        for name, requested, available in zip(
            Resources._fields, required, largest, strict=True
        ):
            if requested > available:
                raise JobImpossibleError(spec.id, name, requested, available)
        raise JobImpossibleError(
            spec.id, "combination", tuple(required), tuple(largest)
        )


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}


def placement_policy(name: str) -> Callable:
    """Return a decorator that registers a policy.

    :param name: value of ``[placement] policy`` that selects it.
    """

    def register(kind: type[PlacementPolicy]) -> type[PlacementPolicy]:
        PLACEMENT_POLICIES[name] = kind
        return kind

    return register


def make_policy(
    name: str, index: WorkerIndex, history: UsageHistory, spread: GroupSpread
) -> PlacementPolicy:
    """Create the policy that is registered under a name.

    :raises FieldError: if there is no such policy.
    """
    if name not in PLACEMENT_POLICIES:
        allowed = "one of " + ", ".join(sorted(PLACEMENT_POLICIES))
        raise FieldError("placement.policy", name, allowed)
    return PLACEMENT_POLICIES[name](index, history, spread)


@placement_policy("observed")
class ObservedPolicy(PlacementPolicy):
    """Allocates the observed usage and spreads the tasks of a group.

    Of a sample of workers, it chooses one whose failure domains run the
    fewest tasks of the job's group.
    """

    def required_resources(self, spec: JobSpec) -> Resources:
        """Return the expected usage of the job.

        If the expected usage fits no worker but the declared size fits one,
        the job is not impossible: the allocation is capped at the largest
        worker capacity that the declared size fits.
        """
        expected = self.history.expected_usage(
            spec.team, spec.kind, spec.declared
        )
        if self.index.has_capacity_for(expected):
            return expected
        sufficient = [
            capacity
            for capacity in self.index.capacity_counts
            if spec.declared.fits(capacity)
        ]
        if not sufficient:
            return expected
        largest = max(sufficient)
        return Resources(*map(min, expected, largest))

    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose the candidate with the fewest tasks of the job's group."""
        required = self.required_resources(spec)
        candidates = self.index.candidates(required, avoid)
        if not candidates:
            self.check_possible(spec, required)
            return None
        group = spread_group(spec)
        best = min(
            candidates,
            key=lambda worker: (
                self.spread.task_counts(group, worker),
                worker.free,
            ),
        )
        return Placement(best.name, required)


@placement_policy("first_fit_declared")
class FirstFitDeclared(PlacementPolicy):
    """Baseline: the first worker that has the declared size free."""

    def required_resources(self, spec: JobSpec) -> Resources:
        """Return the declared size."""
        return spec.declared

    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose the first available worker with enough free resources."""
        required = self.required_resources(spec)
        for worker in self.index.workers.values():
            if (
                worker.available
                and required.fits(worker.free)
                and worker.name not in avoid
            ):
                return Placement(worker.name, required)
        self.check_possible(spec, required)
        return None


def sort_by_urgency(records: Iterable[JobRecord]) -> list[JobRecord]:
    """Return waiting jobs in placement order.

    The order is by urgency, then by time of submission.
    """
    return sorted(
        records,
        key=lambda each: (
            each.spec.urgency,
            each.submitted_s,
            each.spec.id,
        ),
    )


def within_quota(
    limit: Resources | None, used: Resources, required: Resources
) -> bool:
    """Return whether a further allocation stays within a team's quota.

    :param limit: the team's quota, None for no limit.
    :param used: sum of the team's current allocations.
    :param required: the further allocation.
    """
    if limit is None:
        return True
    slack = Resources(ROUNDING_SLACK, ROUNDING_SLACK, 0)
    return used.plus(required).fits(limit.plus(slack))
