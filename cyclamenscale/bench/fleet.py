"""``cyclamenscale bench fleet``: roll-outs, buffers and decision times.

The decision modules of an entry run on a virtual clock against an in-memory
store and platform. Only the decision times are measured on the real clock.
"""

from cyclamenscale.bench.fleet_demand import BufferResult, compare_buffers
from cyclamenscale.bench.fleet_rollout import (
    DECISION_SIZES,
    RolloutResult,
    decision_ms,
    run_rollout,
)
from cyclamenscale.bench.trace import DEPLOYMENTS
from cyclamenscale.errors import NotFoundError
from cyclamenscale.fleet.rollout import ROLLOUT_POLICIES
from cyclamenscale.settings import Settings
from cyclamenscale.util.tables import format_table

OBJECTIVES = {
    "szlifrail": "wait_and_rollout",
    "kamnolom": "buffer_and_moves",
}
#: Target for roll-out time over its lower bound.
MAX_ROLLOUT_RATIO = 1.2
#: Target for the cost of the learned buffer over that of a fixed one.
MAX_BUFFER_RATIO = 0.5


def run(seed: int = 1, deployment: str = "szlifrail") -> str:
    """Run the benchmark and return the report.

    :param seed: seed of the load.
    :param deployment: ``szlifrail`` or ``kamnolom``.
    :raises NotFoundError: if there is no such deployment.
    """
    if deployment not in DEPLOYMENTS:
        raise NotFoundError("deployment", deployment)
    settings = Settings()
    fleet = settings.fleet._replace(objective=OBJECTIVES[deployment])
    settings = settings._replace(fleet=fleet)
    rollouts = [
        run_rollout(seed, deployment, name, settings)
        for name in sorted(ROLLOUT_POLICIES)
    ]
    buffers = compare_buffers(seed, deployment, fleet)
    return "\n\n".join(
        [
            f"Deployment {deployment}, seed {seed}, {fleet.objective}",
            rollout_table(rollouts),
            buffer_table(buffers),
            decision_table(settings),
        ]
    )


def rollout_table(results: list[RolloutResult]) -> str:
    """Format the roll-outs with their ratio to the lower bound."""
    rows = [
        (
            each.policy,
            round(each.seconds),
            round(each.bound_s),
            round(each.seconds / each.bound_s, 2),
            round(each.longest_drain_s),
            each.most_out,
            each.allowed,
            each.broken,
            each.cut,
        )
        for each in results
    ]
    head = "policy|roll-out s|bound s|ratio|longest drain s"
    head += "|most out|allowed|ticks over budget|requests cut"
    shown = format_table(head.split("|"), rows)
    ratio = next(
        each.seconds / each.bound_s
        for each in results
        if each.policy == "continuous"
    )
    met = "met" if ratio <= MAX_ROLLOUT_RATIO else "not met"
    return (
        f"{shown}\nroll-out at most {MAX_ROLLOUT_RATIO} times the bound: "
        f"{met} ({ratio:.2f})"
    )


def buffer_table(results: list[BufferResult]) -> str:
    """Format the buffers and compare the first row with the last.

    The comparison needs a last row that misses no more than the first.
    """
    rows = [
        (
            each.policy,
            round(each.cost, 2),
            round(each.missed, 6),
            round(each.moves_per_hour, 2),
            each.pool_moves,
        )
        for each in results
    ]
    head = "policy|spare over used|missed share|moves/h|most moves/h of a pool"
    ratio = results[0].cost / results[-1].cost
    same = results[-1].missed <= results[0].missed
    met = "met" if same and ratio <= MAX_BUFFER_RATIO else "not met"
    return (
        f"{format_table(head.split('|'), rows)}\n"
        f"buffer at most {MAX_BUFFER_RATIO} "
        f"of the fixed one's at the same missed targets: {met} ({ratio:.2f})"
    )


def decision_table(settings: Settings) -> str:
    """Measure and format the duration of a controller tick by fleet size."""
    rows = []
    for pools, instances in DECISION_SIZES:
        p50_ms, p99_ms = decision_ms(pools, instances, settings)
        rows.append((pools, instances, round(p50_ms, 2), round(p99_ms, 2)))
    head = ("pools", "instances a pool", "tick p50 ms", "tick p99 ms")
    return format_table(head, rows)
