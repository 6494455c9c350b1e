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

#: LOST: "for 3 s, a submission has nothing running ...".
IDLE_S = 3.0
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
    end_s = record.rows[-1][0] + FINISH_S
    started = {
        details[1].partition(".")[0]: at_s
        for at_s, _, details in reversed(record.find("start"))
    }
    for job, at_s in accepted.items():
        status, table = await request(
            entries[0].callers, "GET", f"/kafi706/{job}", None, HEADERS
        )
        record.note("state", job, status, table)
        idle_s = started.get(job, end_s) - at_s
        if idle_s > IDLE_S:
            record.note(
                "BROKEN-LOST",
                job,
                "nothing ran for",
                round(idle_s, 1),
                "s; begun:",
                job in started,
            )
    return not record.find("BROKEN-LOST")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
