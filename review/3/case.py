"""One lasting submission that can't be done keeps a whole pool idle.

A client hands in tasks that last and require a label that no executor of the
pool has. Ordinary jobs, which any executor may run, come after it. Executors,
links and processes are sound.
"""

import asyncio
from pathlib import Path
from random import Random

from review.lib.case import (
    Entry,
    run_case,
    trouble,
    wait_leader,
    wait_ready,
)
from review.lib.executors import Executor
from review.lib.http import request
from review.lib.platform import Cloud, Store

#: Executors of the pool; all have the labels `a` and their rack.
EXECUTORS = 4

#: The submission that can't be done, one of 21: as many tasks that last as
#: those of the sheets have.
HOPELESS = {
    "spec": "text",
    "steps": [
        {
            "count": 5,
            "cpu": 500,
            "mem-mb": 64,
            "estimate-ms": 700,
            "long-running": True,
            "required-label": "b",
        }
    ],
}

JOBS = 20
JOB_INTERVAL_S = 0.5
WORK_S = 0.3

#: Time for the last jobs to end.
FINISH_S = 14.0

SEED = 3

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r-5xwyhks",
            "host": "cuzi25.example",
            "prefix": "/kafi706/",
            "kind": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "lovo22d",
            "attempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "lovo22d", "admission-check": True}],
    "limits": {"max-body-bytes": 262144},
}

HEADERS = {"Host": "cuzi25.example", "X-Cyclamenscale-Deadline-Ms": "3000"}


async def play(record, folder, entries):
    """Play the case; return whether the rule held."""
    rng = Random(SEED)
    store = Store()
    await store.start()
    executors = [
        Executor(
            n, store, "lovo22d", record, lambda task: (WORK_S, 500, "done")
        )
        for n in range(EXECUTORS)
    ]
    for executor in executors:
        await executor.start()
    cloud = Cloud(executors)
    await cloud.server.start()
    await store.write("op/config", MANIFEST)
    for number in range(3):
        entries.append(
            Entry(
                number,
                folder,
                store.server.address,
                cloud.server.address,
                "127.0.0.1:9",
            )
        )
    for entry in entries:
        entry.start()
    await wait_ready(entries)
    await wait_leader(store)
    await asyncio.sleep(4)
    accepted = {}
    body = {
        "spec": "text",
        "steps": [{"count": 2, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}],
    }
    if trouble():
        job = f"{rng.getrandbits(64):016x}"
        status, _ = await request(
            entries[0].callers, "POST", f"/kafi706/{job}", HOPELESS, HEADERS
        )
        record.note("submit hopeless", job, entries[0].name, status)
    for _ in range(JOBS):
        job = f"{rng.getrandbits(64):016x}"
        entry = rng.choice(entries)
        status, _ = await request(
            entry.callers, "POST", f"/kafi706/{job}", body, HEADERS
        )
        record.note("submit", job, entry.name, status)
        if status == 200:
            accepted[job] = record.rows[-1][0]
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.sleep(FINISH_S)
    # LOST: `finish_s` after the traffic, nothing of a job has run, and under
    # half of the service's capacity is in use.
    used = sum(run.cpu for e in executors for run in e.runs.values())
    record.note("capacity in use", used, "of", sum(e.cpu for e in executors))
    idle = used * 2 < sum(executor.cpu for executor in executors)
    begun = {row[2][1].partition(".")[0] for row in record.find("start")}
    for job, at_s in accepted.items():
        status, table = await request(
            entries[0].callers, "GET", f"/kafi706/{job}", None, HEADERS
        )
        record.note("state", job, status, table)
        if idle and job not in begun:
            record.note(
                "BROKEN-LOST", job, f"accepted at {at_s:.1f}, not begun"
            )
    return not record.find("BROKEN-LOST")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
