"""Decodes JSON bodies of the platform into the types of this project.

Other programs write these bodies; a value of the wrong type raises a
:class:`cyclamenscale.errors.FieldError` that names the field.
"""

from collections.abc import Callable
from re import compile as pattern
from typing import Any, TypeVar

from cyclamenscale.errors import VALUE_REPR, BadJobError, FieldError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import (
    MACHINE_DOWN,
    MACHINE_MAINTENANCE,
    MACHINE_MOVING,
    MACHINE_UP,
    Advice,
    EndReport,
    JobSpec,
    Machine,
    MaintenanceWave,
    Manifest,
    Pool,
    Queue,
    Recurrence,
    RunReport,
    Step,
    WorkerRecord,
    WorkerReport,
)
from cyclamenscale.util.codec import from_json

T = TypeVar("T")

#: Maximum size of a job's payload, as the platform specifies.
PAYLOAD_LIMIT_BYTES = 4000

#: Maximum numbers of tasks of a step and of steps of a job; all are kept in
#: memory.
TASKS_LIMIT = 10000
STEPS_LIMIT = 100

MB_PER_GB = 1024

#: Ids that a header can carry, and addresses that a URL can.
WORKER_ID = pattern(r"[!-~]{1,200}")
ADDRESS = pattern(r"[0-9A-Za-z.-]{1,253}:(?P<port>[0-9]{1,5})")
MAX_PORT = 65535

#: Maximum magnitude of numbers. Larger integers have no equivalent float,
#: and larger floats no equivalent millisecond.
NUMBER_LIMIT = 1 << 63

#: The platform's names for the states of a machine; a machine in an unknown
#: state counts as down.
MACHINE_STATES = {
    "up": MACHINE_UP,
    "moving": MACHINE_MOVING,
    "upkeep": MACHINE_MAINTENANCE,
    "down": MACHINE_DOWN,
}
MILLICORES_PER_PROCESSOR = 1000


def field(
    table: Any, name: str, kind: type | tuple, where: str, default: Any = None
) -> Any:
    """Return a field of a JSON object after checking its type.

    :param default: returned if the field is absent or null; None if the
        field is required.
    :raises FieldError: if it is absent, of another type or a number beyond
        ``NUMBER_LIMIT``.
    """
    if not isinstance(table, dict):
        raise FieldError(where, table, "an object")
    value = table.get(name)
    if value is None:
        if default is None:
            raise FieldError(f"{where}.{name}", None, "a value")
        return default
    if isinstance(value, bool) and kind is not bool:
        raise FieldError(f"{where}.{name}", value, "no truth value")
    if not isinstance(value, kind):
        raise FieldError(f"{where}.{name}", value, str(kind))
    if isinstance(value, NUMBER) and not abs(value) < NUMBER_LIMIT:
        allowed = "a number that is less than 2^63"
        raise FieldError(f"{where}.{name}", value, allowed)
    return value


NUMBER = (int, float)


def list_field(table: Any, name: str, where: str) -> list:
    """Return a field that is a list, or an empty list if it is absent."""
    return field(table, name, list, where, [])


def strings_field(table: Any, name: str, where: str) -> tuple[str, ...]:
    """Return a field that is a list of strings, empty if it is absent."""
    found = list_field(table, name, where)
    if not all(isinstance(part, str) for part in found):
        raise FieldError(f"{where}.{name}", found, "a list of strings")
    return tuple(found)


def resources(table: Any, where: str) -> Resources:
    """Decode resources; processors are in millicores, memory in MB."""
    cpu = field(table, "cpu", NUMBER, where, 0)
    memory = field(table, "mem-mb", NUMBER, where, 0)
    gpu = field(table, "gpu", NUMBER, where, 0)
    if min(cpu, memory, gpu) < 0:
        raise FieldError(where, table, "amounts of at least 0")
    return Resources(
        cpu / MILLICORES_PER_PROCESSOR, memory / MB_PER_GB, int(gpu)
    )


def manifest(data: bytes) -> Manifest:
    """Decode the operators' configuration.

    :raises FieldError: if it is malformed.
    """
    where = "manifest"
    table = from_json(data, where)
    queues = [queue(row) for row in list_field(table, "routes", where)]
    pools = [pool(row) for row in list_field(table, "services", where)]
    limits = field(table, "limits", dict, where, {})
    return Manifest(
        field(table, "version", int, where),
        {found.name: found for found in queues},
        {found.name: found for found in pools},
        field(limits, "max-body-bytes", int, where, 262144),
    )


def queue(row: Any) -> Queue:
    """Decode a queue, which the platform calls a route."""
    where = "route"
    advice = field(row, "advice", dict, where, {})
    return Queue(
        field(row, "name", str, where),
        field(row, "host", str, where),
        field(row, "prefix", str, where),
        field(row, "service", str, where),
        field(row, "priority", int, where, 0),
        field(row, "attempts", int, where, 1),
        float(field(row, "stretch", NUMBER, where, 1.0)),
        float(field(row, "target-latency-ms", NUMBER, where, 1000.0)),
        Advice(
            float(field(advice, "decision-ms", NUMBER, where, 0)),
            float(field(advice, "period-ms", NUMBER, where, 0)),
            float(field(advice, "validity-ms", NUMBER, where, 1000)),
        )
        if advice
        else None,
    )


def pool(row: Any) -> Pool:
    """Decode a pool, which the platform calls a service."""
    where = "service"
    return Pool(
        field(row, "name", str, where),
        field(row, "admission-check", bool, where, False),
        field(row, "standby", bool, where, False),
    )


def wave(data: bytes) -> MaintenanceWave:
    """Decode a maintenance wave."""
    where = "wave"
    table = from_json(data, where)
    return MaintenanceWave(
        field(table, "wave", int, where),
        strings_field(table, "machines", where),
        float(field(table, "duration-s", NUMBER, where, 60)),
        max(field(table, "max-count", int, where, 1), 1),
    )


def worker_record(worker: str, data: bytes) -> WorkerRecord:
    """Decode a worker's registration.

    :raises FieldError: if it is malformed or the worker isn't usable.
    """
    where = f"servers/{worker}"
    table = from_json(data, where)
    state = field(table, "state", str, where)
    if state not in ("ready", "draining"):
        raise FieldError(f"{where}.state", state, "ready or draining")
    if not WORKER_ID.fullmatch(worker):
        allowed = "at most 200 printable characters without spaces"
        raise FieldError("servers", worker, allowed)
    address = field(table, "address", str, where)
    found = ADDRESS.fullmatch(address)
    if not found or not 1 <= int(found["port"]) <= MAX_PORT:
        allowed = f"HOST:PORT with a port from 1 to {MAX_PORT}"
        raise FieldError(f"{where}.address", address, allowed)
    labels = strings_field(table, "labels", where)
    return WorkerRecord(
        worker,
        int(field(table, "born", NUMBER, where, 0)),
        field(table, "service", str, where),
        address,
        field(table, "zone", str, where, ""),
        labels[1] if len(labels) > 1 else "",
        labels,
        resources(field(table, "capacity", dict, where), f"{where}.capacity"),
        state == "draining",
        float(field(table, "remaining-ms", NUMBER, where, 0)),
        field(table, "machine", str, where, ""),
    )


def text(value: Any) -> str:
    """Return a string of a report.

    :raises TypeError: if it is not a string.
    """
    if not isinstance(value, str):
        raise TypeError(f"{VALUE_REPR.repr(value)} is not a string")
    return value


def run_report(row: Any) -> RunReport:
    """Decode a row of a worker's runs; the usage may be missing."""
    usage = [float(row[4])] if len(row) > 4 else []
    return RunReport(
        text(row[0]), int(row[1]), text(row[2] or ""), float(row[3]), *usage
    )


def end_report(row: Any) -> EndReport:
    """Decode a row of a worker's ends."""
    return EndReport(
        int(row[0]),
        text(row[1]),
        int(row[2]),
        text(row[3]),
        text(row[4] or ""),
    )


def worker_report(data: bytes) -> WorkerReport:
    """Decode a worker's report of its runs and ends."""
    where = "hold"
    table = from_json(data, where)
    try:
        runs = tuple(map(run_report, list_field(table, "running", where)))
        ends = tuple(map(end_report, list_field(table, "ended", where)))
    except (
        KeyError,
        IndexError,
        TypeError,
        ValueError,
        OverflowError,
    ) as error:
        raise FieldError(where, str(error), "rows of the known form") from None
    return WorkerReport(
        int(field(table, "clock-ms", NUMBER, where)),
        int(field(table, "born", NUMBER, where, 0)),
        runs,
        tuple(sorted(ends)),
    )


def machines(data: bytes) -> tuple[list[Machine], Any]:
    """Decode a page of machines.

    :returns: the machines, and the token of the next page, None on the last.
    """
    where = "machines"
    table = from_json(data, where)
    found = []
    for row in list_field(table, "machines", where):
        state_name = field(row, "state", str, where)
        state = MACHINE_STATES.get(state_name, MACHINE_DOWN)
        labels = strings_field(row, "labels", where)
        found.append(
            Machine(
                field(row, "machine", str, where),
                field(row, "pool", str, where),
                state == MACHINE_UP,
                state,
                field(row, "id", str, where, ""),
                labels[1] if len(labels) > 1 else "",
            )
        )
    return found, table.get("next-token")


def job_spec(data: bytes) -> JobSpec:
    """Decode a job that a caller submits.

    :raises BadJobError: if it is malformed.
    """
    try:
        return parse_spec(from_json(data, "job"))
    except FieldError as error:
        raise BadJobError(error.field, error.found, error.allowed) from None


def parse_spec(table: Any) -> JobSpec:
    """Parse and check the fields of a job.

    :raises FieldError: if one is malformed or out of range.
    """
    payload = field(table, "spec", str, "job", "")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        raise FieldError("job.spec", len(payload), "at most 4000 bytes")
    step_rows = list_field(table, "steps", "job")
    if not 1 <= len(step_rows) <= STEPS_LIMIT:
        raise FieldError("job.steps", len(step_rows), "1 to 100 steps")
    steps = tuple(step(row, number) for number, row in enumerate(step_rows))
    count = field(table, "repeat-count", int, "job", 0)
    recurrence = None
    if count > 0:
        recurrence = Recurrence(
            int(field(table, "start-at-ms", NUMBER, "job", 0)),
            int(field(table, "interval-ms", NUMBER, "job", 0)),
            count,
        )
    return JobSpec(payload, steps, recurrence)


def step(row: Any, number: int) -> Step:
    """Decode a step of a job."""
    where = f"steps[{number}]"
    count = field(row, "count", int, where, 1)
    if not 1 <= count <= TASKS_LIMIT:
        raise FieldError(f"{where}.count", count, "1 to 10000")
    after = list_field(row, "after", where)
    if not all(isinstance(n, int) and 0 <= n < number for n in after):
        raise FieldError(f"{where}.after", after, "numbers of earlier steps")

    def get(name: str, kind: Any, default: T) -> T:
        return field(row, name, kind, where, default)

    flag: Callable[[str], bool] = lambda name: get(name, bool, False)  # noqa: E731
    return Step(
        count=count,
        need=resources(row, where),
        estimate_ms=float(get("estimate-ms", NUMBER, 0.0)),
        depends_on=tuple(after),
        gang=flag("gang"),
        same_rack=flag("same-rack"),
        label=get("required-label", str, ""),
        rack=get("affinity", str, ""),
        max_per_worker=get("max-per-server", int, 0),
        allows_copies=flag("speculative"),
        long_running=flag("long-running"),
        checkpoints=flag("checkpointing"),
        image=get("image", str, ""),
        tail_target_ms=float(get("target-ms", NUMBER, 0.0)),
        best_effort=flag("fills"),
        max_unavailable=get("max-unavailable", int, 0),
    )
