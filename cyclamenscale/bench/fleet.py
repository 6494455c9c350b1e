"""``cyclamenscale bench fleet``: roll-outs, buffers and decision times.

The decision modules of an entry run on a virtual clock over a store and a
platform in memory. Only the decision times are measured on the real clock.
"""

from cyclamenscale.bench.fleet_demand import BufferResult, compare_buffers
from cyclamenscale.bench.fleet_rollout import (
    SIZES,
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
ROLLOUT_TARGET = 1.2
BUFFER_TARGET = 0.5


def run(seed: int = 1, deployment: str = "szlifrail") -> str:
    """Run all parts and return the report.

    :param seed: seed of the load.
    :param deployment: one of the deployments of design section 1.
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


def rollout_table(found: list[RolloutResult]) -> str:
    """Write the roll-outs with their ratio to the lower bound."""
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
        for each in found
    ]
    head = "policy|roll-out s|bound s|ratio|longest drain s"
    head += "|most out|allowed|ticks over budget|requests cut"
    shown = format_table(head.split("|"), rows)
    ratio = next(
        each.seconds / each.bound_s
        for each in found
        if each.policy == "continuous"
    )
    met = "met" if ratio <= ROLLOUT_TARGET else "not met"
    return (
        f"{shown}\nroll-out at most {ROLLOUT_TARGET} times the bound: "
        f"{met} ({ratio:.2f})"
    )


def buffer_table(found: list[BufferResult]) -> str:
    """Write the buffers; the last row misses no more than the first."""
    rows = [
        (
            each.policy,
            round(each.cost, 2),
            round(each.missed, 6),
            round(each.moves_per_hour, 2),
            each.pool_moves,
        )
        for each in found
    ]
    head = "policy|spare over used|missed share|moves/h|most moves/h of a pool"
    ratio = found[0].cost / found[-1].cost
    same = found[-1].missed <= found[0].missed
    met = "met" if same and ratio <= BUFFER_TARGET else "not met"
    return (
        f"{format_table(head.split('|'), rows)}\n"
        f"buffer at most {BUFFER_TARGET} of the fixed one's at the same "
        f"missed targets: {met} ({ratio:.2f})"
    )


def decision_table(settings: Settings) -> str:
    """Measure a controller's tick at growing sizes."""
    rows = []
    for pools, instances in SIZES:
        p50_ms, p99_ms = decision_ms(pools, instances, settings)
        rows.append((pools, instances, round(p50_ms, 2), round(p99_ms, 2)))
    head = ("pools", "instances a pool", "tick p50 ms", "tick p99 ms")
    return format_table(head, rows)
