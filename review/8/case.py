"""A takeover starts tasks again whose ends are not on the first report."""

import signal
import time
from pathlib import Path

from deployment import Deployment, NotRunError, has_trouble, run_case
from standin_worker import Work

QUEUE = "replan"
JOBS = 40

#: One of three is stopped; site file: `roll_term` share 0.45, one at a time.
ENTRIES = 3
TASKS = 15

#: A worker of 64 cores; a task needs a tenth of one.
WORKER_CPU = 64000
TASK_CPU = 100

#: Time between two submissions; a queue's turn brings more a second.
SUBMITTED_EVERY_S = 0.08

#: Time to start all tasks, until the first of them ends.
STARTING_S = 14.0

#: Time within which all tasks end.
ENDING_S = 1.0

#: The store's outage; site file: 4.5 s.
OUTAGE_S = 3.0
LEADER_STOPS_S = 2.5
WATCHED_S = 12.0


def starts_after_the_end(deployment: Deployment) -> list[str]:
    """Return the tasks that were started after a run that ended done."""
    rows = [
        (worker, *row)
        for worker in deployment.workers
        for row in worker.history
    ]
    found = []
    for worker, task, number, _, ended_s, outcome in rows:
        noted_s = worker.noted_s.get((task, number))
        if outcome != "done" or noted_s is None:
            continue
        if any(ended_s <= at_s <= noted_s for at_s in worker.lapses_s):
            continue
        for other, again, again_number, began_s, *_ in rows:
            if again == task and began_s > ended_s:
                found.append(
                    f"TWICE: {task} ended done as #{number} on {worker.name}, "
                    f"which was taken note of without a lapse, and started as "
                    f"#{again_number} on {other.name} "
                    f"{began_s - ended_s:.2f} s later"
                )
    return found


def play(deployment: Deployment) -> list[str]:
    """Play the case."""
    worker = deployment.add_worker("w0", "pool-a", cpu=WORKER_CPU)
    deployment.add_worker("w1", "pool-b")
    deployment.write_manifest({QUEUE: "pool-a", "profile": "pool-b"})
    deployment.start()
    ends_s = time.monotonic() + STARTING_S
    step = {"count": TASKS, "cpu": TASK_CPU, "mem-mb": 16, "estimate-ms": 9000}
    for number in range(1, JOBS + 1):
        job = f"{number:016x}"
        until_s = ends_s + ENDING_S * number / JOBS
        deployment.works[job] = Work(0.1, TASK_CPU, until_s=until_s)
        body = {"spec": "x", "steps": [step]}
        entry = deployment.entries[number % len(deployment.entries)]
        status, _ = entry.call("POST", f"/{QUEUE}/{job}", body)
        if status != 200:
            raise NotRunError("a submission was not accepted")
        time.sleep(SUBMITTED_EVERY_S)
    while len(worker.runs) < JOBS * TASKS:
        if time.monotonic() > ends_s - 1.0:
            raise NotRunError("the tasks have not all started in time")
        time.sleep(0.05)
    time.sleep(ends_s - 0.5 - time.monotonic())
    if has_trouble():
        deployment.record("store", "is down")
        deployment.store.set_down(True)
    time.sleep(LEADER_STOPS_S)
    leader = next(
        entry
        for entry in deployment.entries
        if entry.name == deployment.leader_name()
    )
    leader.signal(signal.SIGTERM)
    time.sleep(OUTAGE_S - LEADER_STOPS_S)
    if has_trouble():
        deployment.store.set_down(False)
        deployment.record("store", "is up")
    leader.process.wait(10)
    leader.start()
    time.sleep(WATCHED_S)
    return starts_after_the_end(deployment)


run_case(Path(__file__).resolve().parent, play, ENTRIES)
