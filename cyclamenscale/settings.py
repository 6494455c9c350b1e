"""Settings: typed records, one per section of the INI file.

Construction everywhere takes the whole :class:`Settings` object.
"""

from typing import NamedTuple


class EntrySettings(NamedTuple):
    """``[entry]``: who and where this entry instance is."""

    name: str = "entry-1"
    data_centre: str = "dc-1"
    rack: str = "rack-1"
    callers_address: str = "127.0.0.1:0"
    operators_address: str = "127.0.0.1:0"
    peers_address: str = "127.0.0.1:0"


class PeersSettings(NamedTuple):
    """``[peers]``: links to the other entries."""

    seeds: tuple[str, ...] = ()
    heartbeat_s: float = 0.5
    suspect_s: float = 1.5
    dead_s: float = 3.0
    frame_limit_bytes: int = 262144
    log_limit: int = 4096
    batch_ms: int = 2


class StoreSettings(NamedTuple):
    """``[store]``: the platform's key-value service."""

    adapter: str = "etcd"
    address: str = "127.0.0.1:2379"
    call_timeout_s: float = 2.0
    watch_silence_s: float = 4.0
    writes_per_s: int = 300
    reads_per_s: int = 2000


class PlatformSettings(NamedTuple):
    """``[platform]``: the platform's instance list."""

    adapter: str = "http"
    address: str = "127.0.0.1:2380"
    call_timeout_s: float = 2.0
    poll_s: float = 1.0


class FreshnessSettings(NamedTuple):
    """``[freshness]``: when an entry may admit work."""

    limit_s: float = 6.0
    margin_s: float = 1.0
    accept_within_s: float = 12.0


class CallersSettings(NamedTuple):
    """``[callers]``: bounds of the caller server."""

    threads: int = 64
    queue_limit: int = 512
    header_limit_bytes: int = 16384
    body_limit_bytes: int = 4194304
    idle_s: float = 30.0


class OperatorsSettings(NamedTuple):
    """``[operators]``: bounds of the operators' server."""

    threads: int = 8
    body_limit_bytes: int = 65536


class EndpointsSettings(NamedTuple):
    """``[endpoints]``: connections to endpoints."""

    connect_timeout_s: float = 1.0
    keepalive_idle_s: int = 5
    keepalive_interval_s: int = 2
    user_timeout_s: float = 10.0
    reuse_idle_s: float = 5.0
    answer_limit_bytes: int = 16777216


class SchedulingSettings(NamedTuple):
    """``[scheduling]``: how a pool's slots are shared."""

    policy: str = "pool_scheduler"
    queue_limit: int = 2000
    long_factor: float = 8.0
    long_share: float = 0.75
    starvation_s: float = 30.0
    fallback_s: float = 1.0


class LimitsSettings(NamedTuple):
    """``[limits]``: retries and back-off."""

    retry_share: float = 0.1
    retry_burst: int = 10
    backoff_first_s: float = 0.05
    backoff_max_s: float = 5.0


class OutliersSettings(NamedTuple):
    """``[outliers]``: endpoints that fail or leave."""

    consecutive_failures: int = 3
    max_excluded_share: float = 0.5
    exclude_s: float = 10.0
    slow_start_s: float = 10.0


class ClaimsSettings(NamedTuple):
    """``[claims]``: requests that must not be repeated."""

    writes_per_s: int = 30
    group_limit: int = 60
    retention_s: int = 86400
    outcome_limit_bytes: int = 16384
    wait_s: float = 5.0


class FleetSettings(NamedTuple):
    """``[fleet]``: maintenance, moves and placement."""

    objective: str = "wait_and_rollout"
    control_lease_s: int = 8
    moves_per_hour: int = 6


class AuditSettings(NamedTuple):
    """``[audit]``: the trail of changes and decisions."""

    retention_s: int = 2592000
    memory_limit: int = 10000


class MetricsSettings(NamedTuple):
    """``[metrics]``: the statsd server."""

    address: str = ""
    prefix: str = "cyclamenscale"


class ShutdownSettings(NamedTuple):
    """``[shutdown]``: a graceful shutdown."""

    unready_s: float = 2.0
    drain_s: float = 600.0


class LogSettings(NamedTuple):
    """``[log]``: lines on changes of state."""

    level: str = "INFO"
    json: bool = False


class Settings(NamedTuple):
    """All settings of a process, passed whole."""

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
    audit: AuditSettings = AuditSettings()
    metrics: MetricsSettings = MetricsSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()
