"""Settings: typed records, one for each section of the INI file.

Constructors take the whole :class:`Settings` object. Each key is annotated
with its bounds and description; ``settings_schema`` checks the values.
"""

from pathlib import Path
from typing import Annotated, NamedTuple

from cyclamenscale.errors import SettingsErrors
from cyclamenscale.settings_schema import (
    Address,
    Addresses,
    Choices,
    Listen,
    Name,
    OptionalAddress,
    Range,
    merge,
    read_ini,
)

DEFAULTS_PATH = Path(__file__).with_name("defaults.ini")


class EntrySettings(NamedTuple):
    """``[entry]``: identity, location and addresses of this entry."""

    name: Annotated[Name, "unique name; a replacement entry reuses it"] = (
        "entry-1"
    )
    data_centre: Annotated[Name, "data centre it runs in"] = "dc-1"
    rack: Annotated[Name, "rack it runs in"] = "rack-1"
    callers_address: Annotated[Listen, "where the caller server listens"] = (
        "127.0.0.1:0"
    )
    operators_address: Annotated[
        Listen, "where the operators' server listens"
    ] = "127.0.0.1:0"
    ready_address: Annotated[
        Listen, "where a job entry serves its readiness to the load balancer"
    ] = "127.0.0.1:0"
    metrics_address: Annotated[
        Listen, "where a job entry serves its metrics as text"
    ] = "127.0.0.1:0"
    peers_address: Annotated[Listen, "where the peer link listens"] = (
        "127.0.0.1:0"
    )
    processors: Annotated[
        float, Range(0, 10000), "processors of its machine, 0 if unknown"
    ] = 0.0
    processor_share: Annotated[
        float, Range(0, 10000), "share of each of them that it may use"
    ] = 1.0
    link_mbps: Annotated[
        float,
        Range(0, 10000000),
        "bandwidth of its machine's network link, 0 if unknown",
    ] = 0.0


class PeersSettings(NamedTuple):
    """``[peers]``: links to the other entries."""

    seeds: Annotated[
        Addresses, "peer addresses of some entries, to discover the others"
    ] = ()
    heartbeat_s: Annotated[
        float, Range(0.05, 10), "time between heartbeats"
    ] = 0.5
    suspect_s: Annotated[
        float,
        Range(0.1, 30),
        "time without a response after which a peer is reconnected",
    ] = 1.5
    dead_s: Annotated[
        float,
        Range(0.2, 60),
        "time without a message after which a peer counts as failed",
    ] = 3.0
    frame_limit_bytes: Annotated[
        int, Range(1024, 16777216), "larger frames are dropped"
    ] = 262144
    log_limit: Annotated[
        int, Range(16, 1000000), "changes kept to answer requests for deltas"
    ] = 4096
    batch_ms: Annotated[
        int, Range(0, 100), "time over which slot messages are batched"
    ] = 2


class StoreSettings(NamedTuple):
    """``[store]``: the platform's key-value service."""

    adapter: Annotated[Name, "name of the store adapter"] = "etcd"
    address: Annotated[Address, "address of the service"] = "127.0.0.1:2379"
    call_timeout_s: Annotated[float, Range(0.1, 30), "timeout of a call"] = 2.0
    watch_silence_s: Annotated[
        float,
        Range(0.5, 60),
        "time without a message after which a watch is reopened",
    ] = 4.0
    writes_per_s: Annotated[
        int, Range(1, 10000), "budget of writes for the whole deployment"
    ] = 300
    reads_per_s: Annotated[
        int, Range(1, 100000), "budget of reads for the whole deployment"
    ] = 2000


class PlatformSettings(NamedTuple):
    """``[platform]``: the platform's instance list."""

    adapter: Annotated[Name, "name of the platform adapter"] = "http"
    address: Annotated[Address, "address of the list"] = "127.0.0.1:2380"
    call_timeout_s: Annotated[float, Range(0.1, 30), "timeout of a call"] = 2.0
    poll_s: Annotated[
        float, Range(0.1, 60), "time between reads of the list"
    ] = 1.0
    advice_address: Annotated[
        OptionalAddress, "address of the placement advice, empty for none"
    ] = ""


class FreshnessSettings(NamedTuple):
    """``[freshness]``: when an entry may admit work."""

    limit_s: Annotated[
        float,
        Range(0.5, 60),
        "age of the newest confirmation up to which work is admitted",
    ] = 6.0
    margin_s: Annotated[
        float,
        Range(0.1, 30),
        "added to limit_s before a change stops waiting for a silent member; "
        "covers the difference of the clock rates",
    ] = 1.0
    accept_within_s: Annotated[
        float,
        Range(1, 120),
        "time after which the outcome of a change is reported as unknown",
    ] = 12.0


class CallersSettings(NamedTuple):
    """``[callers]``: limits of the caller server."""

    threads: Annotated[int, Range(1, 512), "requests served at once"] = 64
    queue_limit: Annotated[
        int, Range(1, 65536), "connections that wait for a thread"
    ] = 512
    header_limit_bytes: Annotated[
        int, Range(1024, 1048576), "largest size of a request's headers"
    ] = 16384
    body_limit_bytes: Annotated[
        int, Range(0, 1073741824), "largest size of a request's body"
    ] = 4194304
    idle_s: Annotated[
        float, Range(1, 600), "idle time after which a connection is closed"
    ] = 30.0


class OperatorsSettings(NamedTuple):
    """``[operators]``: limits of the operators' server."""

    threads: Annotated[int, Range(1, 64), "requests served at once"] = 8
    body_limit_bytes: Annotated[
        int, Range(1024, 1048576), "largest size of a request's body"
    ] = 65536


class EndpointsSettings(NamedTuple):
    """``[endpoints]``: connections to endpoints."""

    connect_timeout_s: Annotated[float, Range(0.05, 30), "time to connect"] = (
        1.0
    )
    keepalive_idle_s: Annotated[
        int, Range(1, 600), "idle time before the first keep-alive probe"
    ] = 5
    keepalive_interval_s: Annotated[
        int, Range(1, 600), "time between keep-alive probes"
    ] = 2
    user_timeout_s: Annotated[
        float, Range(0.5, 600), "time data may stay unacknowledged"
    ] = 10.0
    reuse_idle_s: Annotated[
        float,
        Range(0, 600),
        "idle time up to which a connection is reused",
    ] = 5.0
    answer_limit_bytes: Annotated[
        int, Range(1024, 1073741824), "largest size of a response"
    ] = 16777216


class SchedulingSettings(NamedTuple):
    """``[scheduling]``: how a pool's slots are shared."""

    policy: Annotated[Name, "name of the policy"] = "pool_scheduler"
    queue_limit: Annotated[
        int, Range(1, 1000000), "waiting requests, for each pool"
    ] = 2000
    long_factor: Annotated[
        float,
        Range(1, 1000),
        "a class whose run time is above this multiple of the shortest "
        "class's is long",
    ] = 8.0
    long_share: Annotated[
        float,
        Range(0.05, 1),
        "share of the slots that long requests may occupy",
    ] = 0.75
    starvation_s: Annotated[
        float,
        Range(0.1, 3600),
        "wait after which a long request gets the next slot",
    ] = 30.0
    fallback_s: Annotated[
        float,
        Range(0.05, 30),
        "time without a message from the scheduler after which the entry "
        "assigns slots by itself",
    ] = 1.0


class LimitsSettings(NamedTuple):
    """``[limits]``: retries and back-off."""

    retry_share: Annotated[
        float, Range(0, 1), "retries as a share of the load"
    ] = 0.1
    retry_burst: Annotated[
        int, Range(0, 10000), "retries allowed beyond the share"
    ] = 10
    backoff_first_s: Annotated[
        float, Range(0.001, 60), "longest wait before the first retry"
    ] = 0.05
    backoff_max_s: Annotated[
        float, Range(0.001, 600), "longest wait before any retry"
    ] = 5.0


class OutliersSettings(NamedTuple):
    """``[outliers]``: endpoints that fail or leave."""

    consecutive_failures: Annotated[
        int, Range(1, 1000), "consecutive failures that exclude an endpoint"
    ] = 3
    max_excluded_share: Annotated[
        float,
        Range(0, 1),
        "largest share of a pool excluded for failures at once",
    ] = 0.5
    exclude_s: Annotated[
        float, Range(0.1, 3600), "time of the first exclusion"
    ] = 10.0
    slow_start_s: Annotated[
        float,
        Range(0, 3600),
        "time over which a returning endpoint gets its full load",
    ] = 10.0


class ClaimsSettings(NamedTuple):
    """``[claims]``: requests that must not be repeated."""

    writes_per_s: Annotated[
        int, Range(1, 10000), "store writes for claims, for each entry"
    ] = 30
    group_limit: Annotated[
        int,
        Range(1, 128),
        "claims in one transaction; the store takes 128 operations",
    ] = 60
    retention_s: Annotated[
        int,
        Range(60, 2592000),
        "time for which an idempotency key is kept",
    ] = 86400
    outcome_limit_bytes: Annotated[
        int, Range(0, 524288), "largest size of a recorded outcome"
    ] = 16384
    wait_s: Annotated[
        float, Range(0.1, 60), "time a claim may wait for its transaction"
    ] = 5.0


class FleetSettings(NamedTuple):
    """``[fleet]``: maintenance, moves and placement."""

    objective: Annotated[
        str,
        Choices("wait_and_rollout", "buffer_and_moves"),
        "which measures have priority",
    ] = "wait_and_rollout"
    control_lease_s: Annotated[
        int,
        Range(2, 5),
        "lease of a pool's control; shorter than freshness.limit_s, so that "
        "no controller decides on targets that are no longer in force",
    ] = 4
    tick_s: Annotated[
        float, Range(0.05, 60), "interval of a controller's decisions"
    ] = 1.0
    rollout: Annotated[
        str,
        Choices("continuous", "one_at_a_time"),
        "policy that selects the next planned outages",
    ] = "continuous"
    failed_probes_limit: Annotated[
        int,
        Range(1, 1000),
        "failed health probes of one instance that halt a version",
    ] = 3
    moves_per_hour: Annotated[
        int, Range(0, 10000), "instance moves an hour, for each pool"
    ] = 6
    moves: Annotated[
        str,
        Choices("envelope", "fixed_buffer"),
        "policy that computes how many instances a pool needs",
    ] = "envelope"
    envelope_s: Annotated[
        float,
        Range(60, 2592000),
        "window over which a pool's demand envelope is computed",
    ] = 7200.0
    payback_s: Annotated[
        float,
        Range(0, 2592000),
        "time for which a move is not reversed; each move costs a drain "
        "and a reboot",
    ] = 1800.0
    buffer_instances: Annotated[
        int,
        Range(0, 10000),
        "instances above the mean demand that fixed_buffer keeps",
    ] = 4


class PlacementSettings(NamedTuple):
    """``[placement]``: placement of pool jobs on workers."""

    policy: Annotated[
        str,
        Choices("observed", "first_fit_declared"),
        "policy that sizes and places tasks",
    ] = "observed"
    quantile: Annotated[
        float,
        Range(0.5, 1),
        "quantile of observed usage that a task is allocated",
    ] = 0.9
    history_limit: Annotated[
        int,
        Range(100, 1000000),
        "teams and kinds of jobs whose usage is recorded, for each pool",
    ] = 10000
    overload_share: Annotated[
        float,
        Range(0.1, 2),
        "share of a worker's resources in use above which its load is reduced",
    ] = 0.95
    settle_s: Annotated[
        float,
        Range(0, 3600),
        "time after a reduction of a worker's load until its usage is checked "
        "again; longer than the lag of the usage reports",
    ] = 5.0
    learn_after_s: Annotated[
        float,
        Range(0, 86400),
        "run time after which a running task's usage is recorded",
    ] = 30.0
    quarantine_jobs: Annotated[
        int,
        Range(2, 60),
        "distinct jobs of two teams or more whose failures quarantine a "
        "worker",
    ] = 3
    quarantine_s: Annotated[float, Range(1, 604800), "time in quarantine"] = (
        3600.0
    )
    max_quarantined_share: Annotated[
        float, Range(0, 1), "largest share of a pool's workers in quarantine"
    ] = 0.1
    bad_job_workers: Annotated[
        int,
        Range(1, 8),
        "good workers on which a job must fail to count as bad",
    ] = 3
    lost_s: Annotated[
        float,
        Range(1, 86400),
        "time without a report of a task after which it counts as lost",
    ] = 30.0
    task_lease_s: Annotated[
        float,
        Range(10, 604800),
        "time without renewal after which a worker ends a task; longer "
        "than the outages of the store that tasks should survive",
    ] = 7200.0
    retention_s: Annotated[
        float,
        Range(0, 2592000),
        "time for which an ended job is kept in the store",
    ] = 3600.0
    decisions_per_tick: Annotated[
        int, Range(1, 100000), "placements tried in one tick of a pool"
    ] = 1000
    writes_per_s: Annotated[
        float, Range(0.1, 300), "store writes a second, for each pool"
    ] = 2.0
    writes_burst: Annotated[
        int, Range(1, 1000), "largest burst of store writes, for each pool"
    ] = 20


class JobsSettings(NamedTuple):
    """``[jobs]``: jobs of tasks on the platform's workers."""

    order: Annotated[
        str,
        Choices("most_on_time", "small_first", "due_first", "first_come"),
        "policy that orders the jobs of a pool",
    ] = "most_on_time"
    hold_s: Annotated[
        float,
        Range(0.5, 600),
        "lease of a worker's tasks, renewed by each poll; the tasks of a "
        "worker that does not respond start elsewhere after it",
    ] = 3.0
    max_hold_ms: Annotated[
        int, Range(500, 3600000), "longest task lease that the platform grants"
    ] = 10000
    look_s: Annotated[
        float,
        Range(0.05, 2),
        "time for which a long poll of a worker waits for a task to end",
    ] = 0.6
    fresh_s: Annotated[
        float,
        Range(0.1, 60),
        "age of a worker's last report up to which it gets new tasks",
    ] = 1.5
    lease_ttl_ms: Annotated[
        int,
        Range(500, 600000),
        "lease of the coordinator; another one takes over after it",
    ] = 1500
    renew_s: Annotated[
        float, Range(0.05, 60), "time between renewals of that lease"
    ] = 0.35
    grace_s: Annotated[
        float,
        Range(0, 60),
        "time for which a coordinator continues to start accepted tasks "
        "while the store is unavailable",
    ] = 6.0
    holder_pause_ms: Annotated[
        int,
        Range(0, 600000),
        "time for which a new coordinator gives no orders to machines; the "
        "platform's minimum between two leaders' orders",
    ] = 3000
    empty_s: Annotated[
        float,
        Range(0, 600),
        "time for short tasks to end before their machine's maintenance",
    ] = 2.5
    watch_ms: Annotated[
        int,
        Range(100, 30000),
        "time for which a watch request waits for changes; a watch that does "
        "not respond is detected after it",
    ] = 1000
    drain_s: Annotated[
        float,
        Range(0, 600),
        "time from the first unready response until the server stops; the "
        "load balancer reacts after 2 s, and the platform kills the process "
        "at its own limit",
    ] = 3.5
    retention_s: Annotated[
        float,
        Range(1, 2592000),
        "time for which the state of an ended job can be read",
    ] = 180.0


class AuditSettings(NamedTuple):
    """``[audit]``: the audit trail of changes and decisions."""

    retention_s: Annotated[
        int,
        Range(3600, 315360000),
        "time for which change records are kept in the store",
    ] = 2592000
    memory_limit: Annotated[
        int, Range(10, 1000000), "decisions kept in memory"
    ] = 10000


class MetricsSettings(NamedTuple):
    """``[metrics]``: the statsd server."""

    address: Annotated[
        OptionalAddress, "where metrics are sent, empty to send none"
    ] = ""
    prefix: Annotated[Name, "prefix of the metrics' names"] = "cyclamenscale"


class SupervisorSettings(NamedTuple):
    """``[supervisor]``: restarts of failed components."""

    restarts: Annotated[
        int, Range(0, 1000), "restarts of a component within the window"
    ] = 5
    window_s: Annotated[
        float, Range(1, 86400), "window over which restarts are counted"
    ] = 60.0
    backoff_first_s: Annotated[
        float, Range(0.001, 60), "longest wait before the first restart"
    ] = 0.2
    backoff_max_s: Annotated[
        float, Range(0.001, 600), "longest wait before any restart"
    ] = 10.0
    stop_s: Annotated[
        float, Range(0.1, 600), "time for all components to stop"
    ] = 10.0


class ShutdownSettings(NamedTuple):
    """``[shutdown]``: a graceful shutdown."""

    unready_s: Annotated[
        float,
        Range(0, 600),
        "time from the first unready response until requests are refused",
    ] = 2.0
    drain_s: Annotated[
        float, Range(0, 86400), "time for requests in flight to complete"
    ] = 600.0


class LogSettings(NamedTuple):
    """``[log]``: level and format of the log."""

    level: Annotated[
        str,
        Choices("DEBUG", "INFO", "WARNING", "ERROR"),
        "lowest level that is written",
    ] = "INFO"
    json: Annotated[bool, "one JSON object per line instead of text"] = False


class Settings(NamedTuple):
    """All settings of a process."""

    entry: EntrySettings = EntrySettings()
    peers: PeersSettings = PeersSettings()
    store: StoreSettings = StoreSettings()
    platform: PlatformSettings = PlatformSettings()
    freshness: FreshnessSettings = FreshnessSettings()
    callers: CallersSettings = CallersSettings()
    operators: OperatorsSettings = OperatorsSettings()
    endpoints: EndpointsSettings = EndpointsSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    limits: LimitsSettings = LimitsSettings()
    outliers: OutliersSettings = OutliersSettings()
    claims: ClaimsSettings = ClaimsSettings()
    fleet: FleetSettings = FleetSettings()
    placement: PlacementSettings = PlacementSettings()
    jobs: JobsSettings = JobsSettings()
    audit: AuditSettings = AuditSettings()
    metrics: MetricsSettings = MetricsSettings()
    supervisor: SupervisorSettings = SupervisorSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()


def load(path: str | Path | None = None) -> Settings:
    """Read the shipped defaults, overridden by a settings file.

    :param path: an INI file, ``None`` for the defaults alone.
    :returns: the checked settings.
    :raises SettingsErrors: with all errors of the file.
    """
    settings = Settings()
    for source in (DEFAULTS_PATH, path):
        if source is None:
            continue
        texts, errors = read_ini(Path(source))
        if not errors:
            settings, errors = merge(Settings, settings, texts, str(source))
        if errors:
            raise SettingsErrors(f"{source}: {len(errors)} errors", errors)
    return settings
