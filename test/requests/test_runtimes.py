"""Tests of the run time estimates."""

from random import Random

import pytest

from cyclamenscale.requests import runtimes
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import VirtualClock


@pytest.fixture
def times():
    return RunTimeEstimator(Settings(), VirtualClock())


def test_quantiles_follow_the_samples(times):
    """Guards against estimates that stay at the prior or are far off."""
    rng = Random(1)
    seen = sorted(rng.uniform(100, 1100) for _ in range(1000))
    for run_ms in rng.sample(seen, len(seen)):
        times.record("a", run_ms)
    found = times.quantiles("a", 1e6)
    for value, share in zip(found[:3], (0.5, 0.9, 0.99), strict=True):
        # Quantiles are recomputed after 5% more samples.
        assert value == pytest.approx(seen[int(share * 1000)], rel=0.1)
    assert found.mean_ms == pytest.approx(sum(seen) / 1000, rel=0.1)


def test_old_samples_expire(times):
    """Guards against estimates that never follow a change of load."""
    for run_ms in (1000, 10):
        for _ in range(3 * runtimes.WINDOW_SAMPLES):
            times.record("a", run_ms)
    assert times.quantiles("a", 1e6).p99_ms == pytest.approx(10, rel=0.02)


def test_unknown_class_is_classified_by_its_target(times):
    """Guards against new long classes treated as short."""
    targets = {"short": 5000.0, "long": 600_000.0, "other": 9000.0}
    assert times.is_long("long", targets)
    assert not times.is_long("other", targets)
    for _ in range(100):
        times.record("long", 50)
    assert not times.is_long("long", targets)


def test_number_of_classes_is_bounded(times, monkeypatch):
    """Guards against memory that grows with the number of class names."""
    monkeypatch.setattr(runtimes, "CLASSES_LIMIT", 3)
    for number in range(5):
        times.record(f"c{number}", 10)
    assert list(times.classes) == ["c2", "c3", "c4"]
    assert times.dropped == 2


def test_straggler_has_a_long_residual_time(times):
    """Guards against a straggler that is expected to end soon."""
    for run_ms in [100] * 95 + [5000] * 5:
        times.record("a", run_ms)
    assert times.residual_ms("a", 1e4, 0) == pytest.approx(100, rel=0.02)
    assert times.residual_ms("a", 1e4, 200) == pytest.approx(4800, rel=0.02)
    assert times.residual_ms("a", 1e4, 9000) == 9000
