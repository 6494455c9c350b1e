"""Draws the faults of a run from its seed, before the run."""

from random import Random
from typing import NamedTuple

#: Fault target that stands for the entry that leads at the time.
LEADER = -1

#: Kinds of faults and their relative frequency.
KIND_WEIGHTS = {
    "term": 3,
    "kill": 3,
    "kill_all": 0.4,
    "pause": 5,
    "depose": 3,
    "hup": 2,
    "manifest": 2,
    "cut_store": 3,
    "cut_worker": 8,
    "delay_store": 1,
    "delay_worker": 3,
    "stall_worker": 8,
    "reset_store": 2,
    "reset_worker": 2,
    "silence_store": 2,
    "silence_worker": 2,
    "refuse_store": 2,
    "store_down": 0.7,
    "store_lost": 0.7,
    "compact": 0.5,
    "worker_crash": 2,
    "worker_drain": 1,
    "worker_unhealthy": 1,
}

#: Kinds that are drawn apart from the faults: records of another writer among
#: those of the workers, jobs that can never be done, steps of several tasks
#: that last, and maintenance of all machines of a pool.
INTRUSIONS = ("odd_record", "hopeless_job", "lasting_job", "wave")

#: Faults of a series and time between them.
SERIES_FAULTS = (2, 5)
SERIES_INTERVAL_S = (0.05, 0.7)
SERIES_PER_S = 1.0

DURATION_S = (0.1, 6.0)
DELAY_S = (0.02, 0.4)


class Fault(NamedTuple):
    """A fault of a run.

    :ivar at_s: when it begins, from the begin of the run.
    :ivar entry: number of the entry, or :data:`LEADER`.
    :ivar worker: number of the worker.
    :ivar lasts_s: its duration; for ends of processes and workers, the time
        until they are started again.
    :ivar ways: directions of a cut.
    :ivar loses: whether data that a cut holds is lost at its end; it is
        delivered late otherwise.
    :ivar delay_s: delay of connections.
    """

    at_s: float
    kind: str
    entry: int
    worker: int
    lasts_s: float
    ways: tuple[str, ...]
    loses: bool
    delay_s: float


def draw_duration_s(rng: Random) -> float:
    """Draw a duration; each order of magnitude is equally likely."""
    shortest_s, longest_s = DURATION_S
    return shortest_s * (longest_s / shortest_s) ** rng.random()


def draw_faults(
    rng: Random, entries: int, workers: int, seconds: float
) -> list[Fault]:
    """Draw series of faults, which may overlap, in the order of their begin.

    Half of the series are of one kind, and most aim at one entry.
    """
    found = []
    kinds, weights = list(KIND_WEIGHTS), list(KIND_WEIGHTS.values())
    for _ in range(max(round(seconds * SERIES_PER_S), 1)):
        at_s = rng.uniform(0.0, seconds)
        kind = rng.choices(kinds, weights)[0] if rng.random() < 0.5 else ""
        entry = rng.choice([LEADER, rng.randrange(entries)])
        worker = rng.randrange(workers)
        for _ in range(rng.randint(*SERIES_FAULTS)):
            if rng.random() < 0.3:
                entry = rng.choice([LEADER, rng.randrange(entries)])
            if rng.random() < 0.5:
                worker = rng.randrange(workers)
            drawn = kind or rng.choices(kinds, weights)[0]
            # Only the entry that leads calls workers.
            aims_at_leader = drawn.endswith("_worker") and rng.random() < 0.8
            fault = Fault(
                round(at_s, 3),
                drawn,
                LEADER if aims_at_leader else entry,
                worker,
                round(draw_duration_s(rng), 3),
                rng.choice([("up",), ("down",), ("up", "down")]),
                rng.random() < 0.4,
                round(rng.uniform(*DELAY_S), 3),
            )
            if at_s < seconds:
                found.append(fault)
            at_s += rng.uniform(*SERIES_INTERVAL_S)
    return sorted(found)


def draw_intrusions(
    rng: Random, entries: int, workers: int, seconds: float
) -> list[Fault]:
    """Draw odd records and hopeless jobs, in the order of their begin.

    They have a random source of their own, so that the other faults of a
    seed stay what they were.
    """
    found = []
    for kind in INTRUSIONS:
        for _ in range(rng.randint(0, 2)):
            fault = Fault(
                round(rng.uniform(0.0, seconds), 3),
                kind,
                rng.randrange(entries),
                rng.randrange(workers),
                0.0,
                (),
                rng.random() < 0.5,
                0.0,
            )
            found.append(fault)
    return sorted(found)
