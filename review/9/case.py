"""Submissions can't be found once their route has another name."""

import time
from pathlib import Path

from deployment import Deployment, NotRunError, has_trouble, run_case
from standin_worker import Work

JOB = "00000000000000c1"
PATH = f"/replan/{JOB}"

#: ``config-apply-ms`` is 2 s, ``visible_ms`` 3 s.
APPLIED_S = 4.0

#: ``cancel_ms`` and ``stop-ms``, and some time for the worker.
STOPPED_S = 3.0 + 0.2 + 0.3


def play(deployment: Deployment) -> list[str]:
    """Play the case."""
    deployment.add_worker("w0", "pool-a")
    deployment.add_worker("w1", "pool-a")
    deployment.write_manifest({"replan": "pool-a"})
    deployment.start()
    deployment.works[JOB] = Work(40.0)
    step = {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 40000}
    body = {"spec": "x", "steps": [step]}
    status, _ = deployment.entries[0].call("POST", PATH, body)
    if status != 200:
        raise NotRunError("the submission was not accepted")
    accepted_s = time.monotonic()
    time.sleep(1.0)
    name = "replan-2" if has_trouble() else "replan"
    deployment.write_manifest({name: "pool-a"}, {name: "/replan/"})
    time.sleep(APPLIED_S)
    broken = []
    for entry in deployment.entries:
        status, _ = entry.call("GET", PATH)
        if status == 410:
            broken.append(
                f"LOST: {entry.name} answers 410 to a GET for a submission "
                f"accepted {time.monotonic() - accepted_s:.1f} s before"
            )
    status, _ = deployment.entries[0].call("DELETE", PATH)
    if 200 <= status < 300 or status == 410:
        time.sleep(STOPPED_S)
        if any(worker.runs for worker in deployment.workers):
            broken.append(
                f"UNASKED: the task runs on {STOPPED_S:.1f} s after its "
                f"cancelling was acknowledged with {status}"
            )
    return broken


run_case(Path(__file__).resolve().parent, play)
