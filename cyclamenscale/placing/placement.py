"""Which worker runs a job's task, and what to do with a full one.

Pure decisions; :mod:`cyclamenscale.placing.placer` reads and writes the
records.
Policies register under a name with :func:`placement_policy`.
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

#: Guards sums of allocations against rounding.
ROUNDING_SLACK = 1e-6


class Placement(NamedTuple):
    """A worker for a job.

    :ivar worker: name of the worker.
    :ivar allocated: resources to set aside there.
    """

    worker: str
    allocated: Resources


class GroupSpread:
    """Counts the tasks of each group of jobs by failure domain."""

    def __init__(self):
        """Start without tasks."""
        self.counts: Counter[tuple[str, str]] = Counter()

    def add(self, group: str, worker: IndexedWorker, delta: int = 1) -> None:
        """Count a task that starts or, with ``by`` -1, one that ends."""
        for domain in failure_domains(worker):
            self.counts[group, domain] += delta
            if not self.counts[group, domain]:
                del self.counts[group, domain]

    def task_counts(
        self, group: str, worker: IndexedWorker
    ) -> tuple[int, int, int]:
        """Return the group's tasks in a data centre, rack and worker."""
        data_centre, rack, name = failure_domains(worker)
        counts = self.counts
        return (
            counts[group, data_centre],
            counts[group, rack],
            counts[group, name],
        )


def failure_domains(worker: IndexedWorker) -> tuple[str, str, str]:
    """Return the failure domains of a worker, the largest one first."""
    centre = worker.data_centre
    return centre, f"{centre}/{worker.rack}", f"{centre}//{worker.name}"


def spread_group(spec: JobSpec) -> str:
    """Return the group whose tasks are spread over failure domains."""
    return spec.group or f"{spec.team}/{spec.kind}"


class PlacementPolicy(ABC):
    """Decides where tasks run.

    :param index: the pool's workers.
    :param history: what tasks use.
    :param spread: where the tasks of each group run.
    """

    def __init__(
        self, index: WorkerIndex, history: UsageHistory, spread: GroupSpread
    ):
        """Keep what decides."""
        self.index = index
        self.history = history
        self.spread = spread

    @abstractmethod
    def required_resources(self, spec: JobSpec) -> Resources:
        """Return what to set aside for a job."""

    @abstractmethod
    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose a worker, or None if none was found now.

        :param spec: the job.
        :param avoid: names of workers to leave out.
        :raises JobImpossibleError: if no worker could ever run it.
        """

    def check_possible(self, spec: JobSpec, need: Resources) -> None:
        """Fail if no worker could run the job, even an idle one.

        Nothing is known to be impossible while no worker is listed.

        :raises JobImpossibleError: naming the first resource that lacks.
        """
        if not self.index.capacity_counts or self.index.has_capacity_for(need):
            return
        largest = self.index.largest_capacity()
        for name, asked, most in zip(
            Resources._fields, need, largest, strict=True
        ):
            if asked > most:
                raise JobImpossibleError(spec.id, name, asked, most)
        raise JobImpossibleError(
            spec.id, "combination", tuple(need), tuple(largest)
        )


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}


def placement_policy(name: str) -> Callable:
    """Register a policy.

    :param name: value of ``[placement] policy`` that selects it.
    """

    def register(kind: type[PlacementPolicy]) -> type[PlacementPolicy]:
        PLACEMENT_POLICIES[name] = kind
        return kind

    return register


def make_policy(
    name: str, index: WorkerIndex, history: UsageHistory, spread: GroupSpread
) -> PlacementPolicy:
    """Make the policy of a name.

    :raises FieldError: if there is none.
    """
    if name not in PLACEMENT_POLICIES:
        allowed = "one of " + ", ".join(sorted(PLACEMENT_POLICIES))
        raise FieldError("placement.policy", name, allowed)
    return PLACEMENT_POLICIES[name](index, history, spread)


@placement_policy("observed")
class ObservedPolicy(PlacementPolicy):
    """Sets aside what such jobs use, on the least crowded of a sample."""

    def required_resources(self, spec: JobSpec) -> Resources:
        """Return the learned size.

        A learned size that fits no worker does not make a job impossible
        whose declared size fits one: it gets that whole worker.
        """
        expected = self.history.expected_usage(
            spec.team, spec.kind, spec.declared
        )
        if self.index.has_capacity_for(expected):
            return expected
        holders = [
            shape
            for shape in self.index.capacity_counts
            if spec.declared.fits(shape)
        ]
        if not holders:
            return expected
        room = max(holders)
        return Resources(*map(min, expected, room))

    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose the sampled worker with the fewest of the job's group."""
        need = self.required_resources(spec)
        found = self.index.candidates(need, avoid)
        if not found:
            self.check_possible(spec, need)
            return None
        group = spread_group(spec)
        best = min(
            found,
            key=lambda worker: (
                self.spread.task_counts(group, worker),
                worker.free,
            ),
        )
        return Placement(best.name, need)


@placement_policy("first_fit_declared")
class FirstFitDeclared(PlacementPolicy):
    """Baseline: the first worker with the declared size free."""

    def required_resources(self, spec: JobSpec) -> Resources:
        """Return the declared size."""
        return spec.declared

    def place(
        self, spec: JobSpec, avoid: Collection[str] = ()
    ) -> Placement | None:
        """Choose the first worker that fits, in the order of the list."""
        need = self.required_resources(spec)
        for worker in self.index.workers.values():
            if (
                worker.available
                and need.fits(worker.free)
                and worker.name not in avoid
            ):
                return Placement(worker.name, need)
        self.check_possible(spec, need)
        return None


def sort_by_urgency(records: Iterable[JobRecord]) -> list[JobRecord]:
    """Return waiting jobs in the order in which they are placed."""
    return sorted(
        records,
        key=lambda each: (
            each.spec.urgency,
            each.submitted_s,
            each.spec.id,
        ),
    )


def within_quota(
    limit: Resources | None, used: Resources, need: Resources
) -> bool:
    """Return whether a team may be allocated more.

    :param limit: the team's quota, None for no limit.
    :param used: what its tasks are allocated.
    :param need: what another task needs.
    """
    if limit is None:
        return True
    slack = Resources(ROUNDING_SLACK, ROUNDING_SLACK, 0)
    return used.plus(need).fits(limit.plus(slack))
