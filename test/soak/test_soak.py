"""A short soak with fixed seeds, and tests of its schedule."""

from random import Random

import pytest

from test.soak.run import INJECTORS, Soak
from test.soak.schedule import (
    INTRUSIONS,
    KIND_WEIGHTS,
    Fault,
    draw_faults,
    draw_intrusions,
)

#: Some of the seeds that ever failed; ``--seeds failed`` runs all of them.
SEEDS = (5, 9, 10, 30)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed, tmp_path):
    """Guards against promises that break when faults overlap.

    A failure may depend on the timing of processes; the logs of a run are in
    the directory that ``--out`` names.
    """
    result = Soak(seed, tmp_path).run()
    assert result.violations == []
    assert result.jobs and result.starts


def test_a_pool_works_on_while_all_its_machines_are_maintained(tmp_path):
    """Guards against jobs that have nothing running beside an idle leader.

    Each worker of a pool has tasks of a lasting step, of which only one may
    be away, and all machines are to be maintained.
    """
    soak = Soak(1, tmp_path, entries=3)

    def fault(at_s, kind, worker):
        return Fault(at_s, kind, 0, worker, 0.0, (), False, 0.0)

    soak.schedule = [
        fault(0.5, "lasting_job", 4),
        fault(0.6, "lasting_job", 9),
        fault(2.5, "wave", 4),
        fault(2.5, "wave", 5),
    ]
    result = soak.run()
    assert result.violations == []
    assert soak.platform.maintained[1]


def test_the_schedule_depends_on_the_seed_alone():
    """Guards against a failing seed that draws other faults again."""
    first, again, other = (
        draw_faults(Random(seed), 4, 6, 6.0) for seed in (1, 1, 2)
    )
    assert first == again != other


def test_every_kind_of_fault_can_be_injected():
    """Guards against kinds of faults that are never drawn."""
    assert set(INJECTORS) == set(KIND_WEIGHTS) | set(INTRUSIONS)
    drawn = draw_faults(Random(1), 4, 6, 1000.0)
    assert {fault.kind for fault in drawn} == set(KIND_WEIGHTS)
    intrusions = draw_intrusions(Random(1), 4, 6, 1000.0)
    assert {fault.kind for fault in intrusions} <= set(INTRUSIONS)
