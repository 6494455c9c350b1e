"""Measures configuration changes: time to take effect and store calls."""

import resource
import time
from threading import Event

from cyclamenscale.local import POOL, Deployment
from cyclamenscale.settings import Settings, ShutdownSettings
from cyclamenscale.ui.client import Client
from cyclamenscale.util.quantiles import quantile
from cyclamenscale.util.tables import format_table

ENTRIES = 8
CHANGES = 60
IDLE_S = 10.0

#: Store calls that write; all others, watches included, count as reads.
WRITE_CALLS = ("txn", "lease_grant", "lease_keep_alive", "lease_revoke")


def store_calls(deployment: Deployment) -> tuple[int, int]:
    """Return the numbers of store writes and reads of all entries."""
    writes = reads = 0
    for entry in deployment.entries:
        for name, count in entry.store.call_counts().items():
            if name in WRITE_CALLS:
                writes += count
            else:
                reads += count
    return writes, reads


def call_rates(deployment: Deployment, action) -> tuple[float, float]:
    """Return writes and reads a second while an action runs."""
    before, began_s = store_calls(deployment), time.monotonic()
    action()
    taken_s = time.monotonic() - began_s
    after = store_calls(deployment)
    return tuple((b - a) / taken_s for a, b in zip(before, after, strict=True))


def make_changes(deployment: Deployment, times_s: list[float]) -> None:
    """Change the target of a class through each entry in rotation.

    Every entry must have applied the change when the operator's request
    returns; the time is measured by the client, from request to response.
    """
    for number in range(CHANGES):
        entry = deployment.entries[number % len(deployment.entries)]
        client = Client([entry.operators.address])
        fields = {
            "pool": POOL,
            "finish_within_ms": 2000 + number,
            "max_out_share": 0.25,
            "repeatable": True,
        }
        began_s = time.monotonic()
        client.change(
            "PUT", "/v1/classes/replan", fields, who="bench", why="load"
        )
        times_s.append(time.monotonic() - began_s)
        for each in deployment.entries:
            shown = each.table.view.classes["replan"].finish_within_ms
            if shown != 2000 + number:
                name = each.settings.entry.name
                raise RuntimeError(f"{name} has not applied change {number}")


def run() -> str:
    """Measure a deployment of :data:`ENTRIES` entries.

    :returns: tables of the times, of store calls and of resources.
    """
    settings = Settings(shutdown=ShutdownSettings(unready_s=0.1))
    deployment = Deployment(ENTRIES, 4, settings)
    times_s: list[float] = []
    try:
        deployment.start()
        deployment.configure()
        deployment.wait_usable()
        cpu_s = time.process_time()
        rest = call_rates(deployment, lambda: Event().wait(IDLE_S))
        cpu_share = (time.process_time() - cpu_s) / IDLE_S / ENTRIES
        busy = call_rates(
            deployment, lambda: make_changes(deployment, times_s)
        )
        peer_bytes = [each.link.bytes_sent for each in deployment.entries]
        before_s = time.monotonic()
        Event().wait(IDLE_S)
        peer_rate = max(
            (each.link.bytes_sent - sent) / (time.monotonic() - before_s)
            for each, sent in zip(deployment.entries, peer_bytes, strict=True)
        )
    finally:
        deployment.stop()
    times = format_table(
        ("entries", "changes", "p50 s", "max s"),
        [
            (
                ENTRIES,
                CHANGES,
                f"{quantile(times_s, 0.5):.3f}",
                f"{max(times_s):.3f}",
            )
        ],
    )
    calls = format_table(
        ("store calls", "writes/s", "reads/s"),
        [
            ("at rest", f"{rest[0]:.1f}", f"{rest[1]:.1f}"),
            ("under changes", f"{busy[0]:.1f}", f"{busy[1]:.1f}"),
        ],
    )
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    node = format_table(
        ("each entry at rest", "value"),
        [
            ("peer bytes/s sent, highest", f"{peer_rate:.0f}"),
            ("share of a core, with the stand-ins' part", f"{cpu_share:.4f}"),
            ("memory of all in one process, MB", f"{memory_mb:.0f}"),
        ],
    )
    return f"{times}\n{calls}\n{node}"
