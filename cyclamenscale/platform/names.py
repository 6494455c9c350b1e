"""Headers, keys and values of the platform's protocols."""

from cyclamenscale.jobs.model import (
    CANCELLED,
    DONE,
    FAILED,
    QUEUED,
    RUNNING,
)

#: Worker incarnation that an order is meant for.
TARGET_HEADER = "X-Cyclamenscale-Target-Instance"
HOLDER_HEADER = "X-Cyclamenscale-Lease-Holder"
FENCE_HEADER = "X-Cyclamenscale-Fencing-Token"
#: How long a caller waits for a response, in ms.
DEADLINE_HEADER = "HTTP_X_CYCLAMENSCALE_DEADLINE_MS"

#: Keys that the operators and the workers write.
MANIFEST_KEY = "op/config"
WAVE_PREFIX = "op/wave/"
OPERATOR_PREFIX = "op/"
WORKER_PREFIX = "servers/"
WAVE_STATUS_PREFIX = "status/wave/"

#: Names of the states of a job in responses to callers.
JOB_STATE_NAMES = {
    QUEUED: "queued",
    RUNNING: "active",
    DONE: "completed",
    FAILED: "failed",
    CANCELLED: "cancelled",
}
