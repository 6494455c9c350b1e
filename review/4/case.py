"""One unreadable entry in the registry hides all executors from a leader.

Another writer has put an entry below `servers/` whose bytes can't be read.
All executors, links and processes are sound.
"""

import asyncio
import base64
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

#: Bytes that can't be read: lists that begin and never end.
UNREADABLE = b"[" * 2000

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
        for n in range(6)
    ]
    for executor in executors:
        await executor.start()
    if trouble():
        value = base64.b64encode(UNREADABLE).decode()
        await store.commit([{"key": "servers/i-", "value": value}], [])
        record.note("unreadable entry", "servers/i-", len(UNREADABLE), "bytes")
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
