"""Seeds that ever failed, with a line on the cause of each."""

#: Cause by seed, for runs with default options. Seed 102 failed with
#: ``--entries 40 --seconds 15`` (RECOVER): the stand-ins were too slow.
FAILED_SEEDS: dict[int, str] = {
    5: "BUDGET: a start repeated after its run had failed was refused as old "
    "and taken as one that never ran",
    8: "TWICE: as 5, after the run was done",
    9: "RECOVER: workers on probation with a long-running task got no others",
    10: "TWICE: as 8, after a pause of the leader",
    30: "TWICE: as 8, after a change of the leader",
    33: "TWICE: the soak delivered a held start to the next life of a worker",
    306: "AVAIL, open: an upkeep order without an answer was repeated after "
    "other tasks of the step had been stopped on a leaving worker",
}
