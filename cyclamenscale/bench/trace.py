"""Deployments and generated arrivals of the policy benchmark.

The deployments model two users. In each, the pools take turns at a demand
peak that exceeds their capacity for a few seconds.
"""

from math import log
from random import Random
from typing import NamedTuple

#: Mean load of a pool, as a share of its slots. A peak of five times this
#: exceeds the pool's capacity by a third.
MEAN_LOAD = 0.27
#: Arrival rates during and outside a pool's peak, relative to the mean.
PEAK_FACTOR = 5.0
OFF_PEAK_FACTOR = 0.05
PEAK_DURATION_S = 4.0
#: Share of the work (not of the requests) that is short.
SHORT_SHARE = 0.8
#: Share of requests that are stragglers, and the range of factors by which
#: their run times exceed the drawn ones.
STRAGGLER_SHARE = 0.003
STRAGGLER_FACTORS = (20.0, 40.0)
#: Sigma of the lognormal distributions of run times.
SHORT_SIGMA = 0.5
LONG_SIGMA = 0.7
#: Sigma of the lognormal error factor of declared run times.
DECLARED_SIGMA = 1.5


class Deployment(NamedTuple):
    """Sizes of a user's deployment.

    :ivar delay_s: one-way latency between data centres.
    :ivar near_s: one-way latency within a data centre.
    :ivar short_s: mean run time of short work.
    :ivar long_s: mean run time of long work.
    :ivar short_target_s: target of short work.
    :ivar long_target_s: target of long work.
    """

    name: str
    centres: int
    entries: int
    pools: int
    endpoints: int
    slots: int
    delay_s: float
    near_s: float
    short_s: float
    long_s: float
    short_target_s: float
    long_target_s: float


DEPLOYMENTS = {
    "szlifrail": Deployment(
        "szlifrail", 3, 6, 5, 6, 8, 0.0005, 0.0001, 0.4, 8.0, 5.0, 300.0
    ),
    "kamnolom": Deployment(
        "kamnolom", 4, 8, 5, 8, 8, 0.0015, 0.0002, 0.25, 5.0, 5.0, 300.0
    ),
}


class Request(NamedTuple):
    """One arrival.

    :ivar number: index in the trace.
    :ivar at_s: arrival time.
    :ivar entry: index of the entry that the load balancer chooses.
    :ivar pool: index of the pool.
    :ivar long: whether it belongs to the class of long requests.
    :ivar straggler: whether it runs tens of times longer than drawn.
    :ivar run_s: actual run time, the same for all policies.
    :ivar declared_s: run time that its caller declares.
    """

    number: int
    at_s: float
    entry: int
    pool: int
    long: bool
    straggler: bool
    run_s: float
    declared_s: float


def mean_arrival_rates(deployment: Deployment) -> tuple[float, float]:
    """Return a pool's mean short and long arrivals a second."""
    slots = deployment.endpoints * deployment.slots
    factor = sum(STRAGGLER_FACTORS) / 2
    stretch = 1 + STRAGGLER_SHARE * (factor - 1)
    work = MEAN_LOAD * slots / stretch
    return (
        work * SHORT_SHARE / deployment.short_s,
        work * (1 - SHORT_SHARE) / deployment.long_s,
    )


def lognormal(rng: Random, mean: float, sigma: float) -> float:
    """Draw from a lognormal distribution with a given mean."""
    return rng.lognormvariate(log(mean) - sigma * sigma / 2, sigma)


def make_trace(
    deployment: Deployment, seed: int, seconds: float
) -> list[Request]:
    """Generate the arrivals of a run.

    Arrivals are a Poisson process whose rate is higher during the pool's
    demand peak; the pools peak one after another, each for
    :data:`PEAK_DURATION_S`.

    :param deployment: sizes of the deployment.
    :param seed: the same seed gives the same trace.
    :param seconds: length of the trace.
    """
    rng = Random(f"trace {deployment.name} {seed}")
    short_rate, long_rate = mean_arrival_rates(deployment)
    arrivals = []
    for pool in range(deployment.pools):
        for long, mean_rate in ((False, short_rate), (True, long_rate)):
            # Thinning: candidates at the highest rate, each kept with
            # probability current / highest (Lewis and Shedler, 1979).
            at_s = 0.0
            while True:
                at_s += rng.expovariate(mean_rate * PEAK_FACTOR)
                if at_s >= seconds:
                    break
                peak_pool = int(at_s / PEAK_DURATION_S) % deployment.pools
                if (
                    peak_pool != pool
                    and rng.random() >= OFF_PEAK_FACTOR / PEAK_FACTOR
                ):
                    continue
                mean_s = deployment.long_s if long else deployment.short_s
                sigma = LONG_SIGMA if long else SHORT_SIGMA
                run_s = lognormal(rng, mean_s, sigma)
                straggler = rng.random() < STRAGGLER_SHARE
                if straggler:
                    run_s *= rng.uniform(*STRAGGLER_FACTORS)
                entry = rng.randrange(deployment.entries)
                declared_s = run_s * rng.lognormvariate(0, DECLARED_SIGMA)
                arrivals.append(
                    (at_s, entry, pool, long, straggler, run_s, declared_s)
                )
    arrivals.sort()
    return [Request(number, *one) for number, one in enumerate(arrivals)]
