"""``cyclamenscale bench policy``: compare slot scheduling policies.

Each policy runs in virtual time against the same generated arrivals and run
times. ``pool_scheduler`` runs the scheduling modules of a real entry. The
result depends only on the seed.
"""

from typing import NamedTuple

from cyclamenscale.bench import policies, pool_scheduler
from cyclamenscale.bench.simulation import (
    Fault,
    Outcome,
    Simulation,
    heartbeat_bytes_per_s,
)
from cyclamenscale.bench.trace import (
    DEPLOYMENTS,
    PEAK_DURATION_S,
    Request,
    make_trace,
)
from cyclamenscale.errors import NotFoundError
from cyclamenscale.requests.scheduling import find_policy
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.rendezvous import choose_node

BASELINE = "central"
POOL_SCHEDULER = "pool_scheduler"
POLICY_NAMES = (
    BASELINE,
    POOL_SCHEDULER,
    "slot_shares",
    "shared_occupancy",
    "least_loaded",
    "two_choices",
    "round_robin",
)
FAULT_POLICY_NAMES = (
    POOL_SCHEDULER,
    "slot_shares",
    "shared_occupancy",
    "two_choices",
)
#: Demand peaks, one per pool, that warm up the run time estimates; requests
#: that arrive during them are not measured.
WARM_UP_PEAKS = 5
#: Virtual time after the last arrival in which queued requests may start.
DRAIN_S = 400.0


class Result(NamedTuple):
    """Results of one policy in one run.

    Waits are from arrival to start, in milliseconds; a request that never
    started counts with the whole target of its class.
    """

    name: str
    short_p50: float
    short_p99: float
    short_p999: float
    long_p50: float
    long_p99: float
    missed: int
    refused: int
    lost: int
    requests: int
    sent_mean: float
    sent_max: float
    ratio: float
    waits: list[float]
    timeline: list[float]


def wait_ms(request: Request, outcome: Outcome, target_s: float) -> float:
    """Return the wait of a request, its target if it never started."""
    if outcome.start_s is None:
        return target_s * 1000
    return max(0.0, outcome.start_s - request.at_s) * 1000


def simulate(
    name: str,
    deployment,
    trace: list[Request],
    seed: int,
    seconds: float,
    fault: Fault | None = None,
) -> Result:
    """Simulate one policy.

    :param name: registered name of the policy.
    :param deployment: sizes of the simulated deployment.
    :param trace: arrivals.
    :param seed: seed of the policy's random choices.
    :param seconds: virtual length of the trace.
    :param fault: fault to inject; requests of the affected entry are left
        out of the waits, because no policy can help them.
    """
    simulation = Simulation(deployment, trace, seed, fault)
    start_s = WARM_UP_PEAKS * PEAK_DURATION_S
    if seconds <= start_s:
        start_s = 0.0
    simulation.run(find_policy(name)(simulation), seconds)
    sent_per_s = [
        size / seconds + heartbeat_bytes_per_s(deployment, simulation.settings)
        for size in simulation.sent_bytes
    ]
    if name == BASELINE:
        sent_per_s = [0.0] * deployment.entries
    simulation.run_until(seconds + DRAIN_S)
    short: list[float] = []
    long: list[float] = []
    timeline = [0.0] * (int(seconds) + 1)
    missed = refused = lost = 0
    for request, outcome in zip(trace, simulation.outcomes, strict=True):
        if request.at_s < start_s:
            continue
        if fault and outcome.entry == fault.entry:
            lost += outcome.end_s is None
            continue
        target_s = (
            deployment.long_target_s
            if request.long
            else deployment.short_target_s
        )
        request_wait_ms = wait_ms(request, outcome, target_s)
        (long if request.long else short).append(request_wait_ms)
        if not request.long:
            second = int(request.at_s)
            timeline[second] = max(timeline[second], request_wait_ms)
        if outcome.refused_s is not None:
            refused += 1
        elif outcome.end_s is None or outcome.end_s - request.at_s > target_s:
            missed += 1
    short.sort()
    long.sort()
    return Result(
        name,
        quantile(short, 0.5),
        quantile(short, 0.99),
        quantile(short, 0.999),
        quantile(long, 0.5),
        quantile(long, 0.99),
        missed,
        refused,
        lost,
        len(short) + len(long),
        sum(sent_per_s) / len(sent_per_s),
        max(sent_per_s),
        0.0,
        short,
        timeline,
    )


def compare(
    seed: int, deployment_name: str, seconds: float, names=POLICY_NAMES
) -> list[Result]:
    """Run all policies on one trace; the first is the baseline."""
    deployment = DEPLOYMENTS[deployment_name]
    trace = make_trace(deployment, seed, seconds)
    results = []
    for name in names:
        result = simulate(name, deployment, trace, seed, seconds)
        base = results[0].short_p99 if results else result.short_p99
        ratio = result.short_p99 / base if base else 0.0
        results.append(result._replace(ratio=ratio))
    return results


def compare_faults(
    seed: int, deployment_name: str, seconds: float, names=FAULT_POLICY_NAMES
) -> dict[str, list[Result]]:
    """Run policies with a fault of the entry that schedules a pool.

    The fault begins in the middle of the second demand peak of ``pool-0``.
    """
    deployment = DEPLOYMENTS[deployment_name]
    trace = make_trace(deployment, seed, seconds)
    entries = [f"entry-{i}" for i in range(deployment.entries)]
    entry = int(choose_node("pool-0", entries)[6:])
    at_s = (deployment.pools + 0.5) * PEAK_DURATION_S
    return {
        kind: [
            simulate(
                name,
                deployment,
                trace,
                seed,
                seconds,
                Fault(kind, entry, at_s),
            )
            for name in names
        ]
        for kind in ("pause", "death")
    }


def format_table(results: list[Result]) -> str:
    """Format the results as a text table."""
    lines = [
        f"{'policy':<17}{'short p50':>10}{'p99':>9}{'p99.9':>9}"
        f"{'long p50':>10}{'p99':>9}{'missed':>8}{'refused':>8}"
        f"{'lost':>6}{'B/s':>7}{'max':>7}{'ratio':>7}"
    ]
    for one in results:
        lines.append(
            f"{one.name:<17}{one.short_p50:>10.1f}{one.short_p99:>9.1f}"
            f"{one.short_p999:>9.1f}{one.long_p50:>10.0f}"
            f"{one.long_p99:>9.0f}{one.missed:>8}{one.refused:>8}"
            f"{one.lost:>6}{one.sent_mean:>7.0f}{one.sent_max:>7.0f}"
            f"{one.ratio:>7.2f}"
        )
    return "\n".join(lines)


def run(
    seed: int = 1,
    deployment: str = "szlifrail",
    report: str | None = None,
    seconds: float = 120.0,
    faults: bool = True,
) -> str:
    """Run the benchmark.

    :param seed: seed of arrivals and random choices.
    :param deployment: ``szlifrail`` or ``kamnolom``.
    :param report: path of an HTML page to write, or None.
    :param seconds: virtual length of the arrivals.
    :param faults: whether to simulate faults as well.
    :returns: the tables.
    :raises NotFoundError: if the deployment does not exist.
    """
    if deployment not in DEPLOYMENTS:
        raise NotFoundError("deployment", deployment)
    results = compare(seed, deployment, seconds)
    parts = [
        f"{deployment}, seed {seed}, {seconds:.0f} s; waits in ms; "
        "control bytes a second sent per node, mean and highest node",
        format_table(results),
    ]
    failed = {}
    if faults:
        failed = compare_faults(seed, deployment, seconds)
        for kind, figures in failed.items():
            base = results[0].short_p99
            rows = [
                one._replace(ratio=one.short_p99 / base if base else 0.0)
                for one in figures
            ]
            failed[kind] = rows
            parts += [f"\nscheduling entry: {kind}", format_table(rows)]
    text = "\n".join(parts)
    if report:
        from cyclamenscale.bench.report import write_report

        write_report(report, text, deployment, seed, results, failed)
    return text


#: Modules whose import registers the policies.
REGISTERING_MODULES = (policies, pool_scheduler)
