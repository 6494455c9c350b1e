"""A takeover starts a task of a queue that has changed its service again."""

import signal
import threading
import time
from pathlib import Path

from deployment import Deployment, NotRunError, has_trouble, run_case
from standin_worker import Work

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"

#: One of three is stopped; site file: `roll_term` share 0.45, one at a time.
ENTRIES = 3

#: How long the task runs.
RUN_S = 14.0

#: After ``config-apply-ms`` (2 s) a manifest is in force everywhere.
APPLIED_S = 4.0

#: The cut of one worker of six; site file: share 0.17, 5.5 s.
CUT_S = 5.0


def overlaps(deployment: Deployment) -> list[str]:
    """Return where two runs of a task were at work at the same time."""
    now_s = time.monotonic()
    rows = [
        (task, number, began_s, ended_s or now_s, worker.name)
        for worker in deployment.workers
        for task, number, began_s, ended_s, _ in worker.history
    ]
    found = []
    for row in rows:
        for other in rows:
            if row[4] < other[4] and row[0] == other[0]:
                both_s = min(row[3], other[3]) - max(row[2], other[2])
                if both_s > 0:
                    found.append(
                        f"TWICE: {row[0]} ran as #{row[1]} on {row[4]} and as "
                        f"#{other[1]} on {other[4]} at once for {both_s:.2f} s"
                    )
    return found


def play(deployment: Deployment) -> list[str]:
    """Play the case."""
    for number in range(3):
        deployment.add_worker(f"a{number}", "pool-a", rack=f"r-{number}")
        deployment.add_worker(f"b{number}", "pool-b", rack=f"r-{number}")
    deployment.write_manifest({"replan": "pool-a"})
    deployment.start()
    deployment.works[JOB] = Work(RUN_S)
    step = {"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 14000}
    body = {"spec": "x", "steps": [step]}
    status, _ = deployment.entries[0].call("POST", f"/replan/{JOB}", body)
    if status != 200:
        raise NotRunError("the submission was not accepted")
    end_s = time.monotonic() + 5.0
    while not any(worker.runs for worker in deployment.workers):
        if time.monotonic() > end_s:
            raise NotRunError("the task has not started")
        time.sleep(0.05)
    first = next(worker for worker in deployment.workers if worker.runs)
    deployment.write_manifest({"replan": "pool-b"})
    time.sleep(APPLIED_S)
    if has_trouble():
        first.set_cut(True)
        heal = threading.Timer(CUT_S, first.set_cut, (False,))
        heal.daemon = True
        heal.start()
        time.sleep(0.3)
    leader = deployment.leader()
    leader.signal(signal.SIGTERM)
    leader.process.wait(10)
    leader.start()
    time.sleep(13.0)
    return overlaps(deployment)


run_case(Path(__file__).resolve().parent, play, ENTRIES)
