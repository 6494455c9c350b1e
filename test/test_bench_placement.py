"""Tests of the placement benchmark."""

from cyclamenscale.bench.placement import PlacementRun, run_placer, waste_rows


def test_results_follow_from_the_seed():
    """Guards against figures that cannot be reproduced."""
    assert waste_rows([3], 20) == waste_rows([3], 20)
    assert run_placer(20, 3, 30) == run_placer(20, 3, 30)


def test_each_part_measures_something():
    """Guards against a benchmark whose jobs are never placed."""
    one = PlacementRun("observed", 50, 1)
    one.limit_free_capacity()
    one.time_decisions()
    assert len(one.times_s) == 1000
    assert one.tasks
    found = run_placer(50, 1, 40)
    assert found.urgent_s and max(found.urgent_s) < 40
    assert found.bad
