"""Every failure type of the project.

Each class carries the values that describe the failure as attributes, and
builds its message from them, so that callers never match on text.
``UserError`` is the one base whose message is shown to people; everything
else is internal.
"""


class CyclamenError(Exception):
    """Base of all failures of the project."""


class UserError(CyclamenError):
    """A failure whose message is meant for the person at the other end.

    :cvar code: machine-readable name, stable between releases.
    :cvar exit_status: exit status of a command that ends with this error.
    """

    code = "user_error"
    exit_status = 1


class FieldError(UserError):
    """A value is outside its bounds; nothing was changed.

    :param field: name of the field, with its path.
    :param found: the value that was given.
    :param allowed: what is allowed, in words.
    """

    code = "bad_field"
    exit_status = 2

    def __init__(self, field: str, found: object, allowed: str):
        """Keep the parts for programs, build the message for people."""
        super().__init__(f"{field}: found {found!r}, allowed: {allowed}")
        self.field = field
        self.found = found
        self.allowed = allowed


class SettingError(FieldError):
    """A key of a settings file is wrong.

    :param file: path of the file.
    :param section: section of the file.
    :param key: key in the section.
    :param found: the text that was found.
    :param allowed: what is allowed, in words.
    """

    code = "bad_setting"

    def __init__(
        self, file: str, section: str, key: str, found: object, allowed: str
    ):
        """Keep the place of the key beside the parts of the fault."""
        super().__init__(f"{file} [{section}] {key}", found, allowed)
        self.file = file
        self.section = section
        self.key = key


class SettingsErrors(ExceptionGroup):
    """All faults of a settings file, each a :class:`SettingError`."""


class NotFoundError(UserError):
    """A named record does not exist.

    :param kind: kind of record, such as ``class``.
    :param name: its name.
    """

    code = "not_found"

    def __init__(self, kind: str, name: str):
        """Keep kind and name."""
        super().__init__(f"{kind} {name!r} does not exist")
        self.kind = kind
        self.name = name


class ConflictError(UserError):
    """Another change to the same record was accepted first.

    :param key: store key of the record.
    :param wanted: the record this change would have written, or None.
    :param current: the record that is in force, or None.
    :param revision: revision of the current record.
    """

    code = "conflict"
    exit_status = 3

    def __init__(
        self, key: str, wanted: object, current: object, revision: int
    ):
        """Keep both records, so that the operator can compare them."""
        super().__init__(
            f"{key} was changed by someone else: wanted {wanted!r}, "
            f"in force at revision {revision}: {current!r}"
        )
        self.key = key
        self.wanted = wanted
        self.current = current
        self.revision = revision


class NotAcceptedError(UserError):
    """A change was not written; the configuration is as before.

    :param change_id: id of the change.
    :param reason: why it was not accepted.
    """

    code = "not_accepted"
    exit_status = 4

    def __init__(self, change_id: str, reason: str):
        """Keep the id of the change."""
        super().__init__(f"change {change_id} was not accepted: {reason}")
        self.change_id = change_id
        self.reason = reason


class OutcomeUnknownError(UserError):
    """It is not known whether a change is, or will be, in force.

    :param change_id: id to query the change by.
    :param reason: what is missing.
    """

    code = "outcome_unknown"
    exit_status = 5

    def __init__(self, change_id: str, reason: str):
        """Keep the id of the change."""
        super().__init__(
            f"outcome unknown, query change {change_id}: {reason}"
        )
        self.change_id = change_id
        self.reason = reason


class UnreachableError(UserError):
    """A server did not answer the command.

    :param url: address that was tried.
    :param reason: what went wrong.
    """

    code = "unreachable"
    exit_status = 6

    def __init__(self, url: str, reason: str):
        """Keep the address."""
        super().__init__(f"no answer from {url}: {reason}")
        self.url = url
        self.reason = reason


class NotFreshError(UserError):
    """An entry may have missed accepted changes and shows no records.

    :param reason: what is missing.
    """

    code = "not_fresh"
    exit_status = 8

    def __init__(self, reason: str):
        """Keep the reason."""
        super().__init__(f"the entry's configuration may be old: {reason}")
        self.reason = reason


class ServerFaultError(UserError):
    """An entry answered a command with a failure of its own.

    :param url: address that answered.
    :param status: HTTP status of the answer.
    :param message: what the answer says.
    """

    code = "server_fault"
    exit_status = 7

    def __init__(self, url: str, status: int, message: str):
        """Keep the address and the status."""
        super().__init__(f"{url} answered {status}: {message}")
        self.url = url
        self.status = status
        self.message = message


class StoreError(CyclamenError):
    """Base of failures of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The store did not take the call; nothing was written.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Keep the name of the call."""
        super().__init__(f"store call {operation} failed: {reason}")
        self.operation = operation
        self.reason = reason


class StoreAnswerLostError(StoreError):
    """The call may have taken effect; its answer was lost.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Keep the name of the call."""
        super().__init__(
            f"answer of store call {operation} was lost: {reason}"
        )
        self.operation = operation
        self.reason = reason


class LeaseLostError(StoreError):
    """A store lease has expired or was revoked.

    :param lease_id: id of the lease.
    """

    def __init__(self, lease_id: int):
        """Keep the id of the lease."""
        super().__init__(f"lease {lease_id} does not exist any more")
        self.lease_id = lease_id


class CompactedError(StoreError):
    """A watch asked for a revision that the store no longer holds.

    :param revision: oldest revision that can be watched.
    """

    def __init__(self, revision: int):
        """Keep the oldest revision."""
        super().__init__(f"history before revision {revision} is compacted")
        self.revision = revision


class PlatformUnavailableError(CyclamenError):
    """The platform's instance list or an action did not answer.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Keep the name of the call."""
        super().__init__(f"platform call {operation} failed: {reason}")
        self.operation = operation
        self.reason = reason


class StaleFenceError(CyclamenError):
    """An action carried an older fencing token than one seen before.

    :param pool: pool whose control has moved on.
    :param fence: the token that was refused.
    """

    def __init__(self, pool: str, fence: int):
        """Keep the token."""
        super().__init__(f"fencing token {fence} of pool {pool} is stale")
        self.pool = pool
        self.fence = fence


class RequestError(CyclamenError):
    """Base of the ends of a caller's request other than a whole answer.

    :param reason: machine-readable reason.
    :param message: one sentence for the caller.
    :param retry_after_s: when a new try may succeed, in seconds, or None.
    :cvar outcome: ``not_run`` or ``unknown``.
    """

    outcome = "unknown"

    def __init__(
        self, reason: str, message: str, retry_after_s: float | None = None
    ):
        """Keep the parts of the refusal."""
        super().__init__(message)
        self.reason = reason
        self.message = message
        self.retry_after_s = retry_after_s


class NotRunError(RequestError):
    """The request did not run and will not run."""

    outcome = "not_run"


class OutcomeNotKnownError(RequestError):
    """The request may have run."""

    outcome = "unknown"


class BadRequestError(NotRunError):
    """The request is malformed; it did not run.

    :param field: header or part of the request.
    :param found: what was given.
    :param allowed: what is allowed, in words.
    """

    def __init__(self, field: str, found: object, allowed: str):
        """Keep the parts of the fault."""
        super().__init__(
            "bad_request", f"{field}: found {found!r}, allowed: {allowed}"
        )
        self.field = field
        self.found = found
        self.allowed = allowed


class KeyReusedError(NotRunError):
    """An idempotency key came back with a different request.

    :param key: the idempotency key.
    """

    def __init__(self, key: str):
        """Keep the key."""
        super().__init__(
            "key_reused",
            f"Idempotency-Key {key!r} was used for a different request",
        )
        self.key = key


class KeyPendingError(OutcomeNotKnownError):
    """An idempotency key is in use, or its outcome is unknown.

    :param key: the idempotency key.
    :param state: ``claimed``, ``unknown`` or ``answer_not_kept``.
    """

    def __init__(self, key: str, state: str):
        """Keep the key and the state of its claim."""
        super().__init__(
            "key_pending",
            f"Idempotency-Key {key!r} has no answer to give, state: {state}",
        )
        self.key = key
        self.state = state


class EndpointError(CyclamenError):
    """A try at an endpoint ended without a whole answer.

    :param endpoint: name of the endpoint.
    :param reason: machine-readable reason.
    :param sent: whether a byte of the request can have reached it.
    """

    def __init__(self, endpoint: str, reason: str, sent: bool):
        """Keep what decides whether the request may be sent again."""
        super().__init__(f"endpoint {endpoint}: {reason}")
        self.endpoint = endpoint
        self.reason = reason
        self.sent = sent


class EndpointRefusedError(EndpointError):
    """The endpoint refused the request before running it.

    :param endpoint: name of the endpoint.
    :param leaving: whether it refused because it is leaving.
    """

    def __init__(self, endpoint: str, leaving: bool):
        """Keep whether the endpoint is leaving."""
        super().__init__(endpoint, "refused", sent=False)
        self.leaving = leaving


class FrameError(CyclamenError):
    """A frame from a peer could not be decoded.

    :param reason: ``size``, ``version`` or ``garbage``.
    """

    def __init__(self, reason: str):
        """Keep the reason, which names the counter."""
        super().__init__(f"frame dropped: {reason}")
        self.reason = reason


class ComponentFailedError(CyclamenError):
    """A component failed more often than its supervisor allows.

    :param component: name of the component.
    :param restarts: how often it was restarted.
    """

    def __init__(self, component: str, restarts: int):
        """Keep the name of the component."""
        super().__init__(
            f"component {component} failed after {restarts} restarts"
        )
        self.component = component
        self.restarts = restarts


class ComponentReturnedError(CyclamenError):
    """A component ended before it was told to stop.

    :param component: name of the component.
    """

    def __init__(self, component: str):
        """Keep the name of the component."""
        super().__init__(f"component {component} ended without being stopped")
        self.component = component


class JobImpossibleError(UserError):
    """No worker of the pool could run a job, not even an idle one.

    :param job: id of the job.
    :param resource: the resource that no worker has enough of, or
        ``combination`` if each is found, but not on one worker.
    :param asked: how much the job needs.
    :param largest: the most that any worker has.
    """

    code = "job_impossible"
    exit_status = 9

    def __init__(
        self, job: str, resource: str, asked: object, largest: object
    ):
        """Keep what was asked beside what there is."""
        super().__init__(
            f"job {job} can never run: it needs {asked} of {resource}, "
            f"the largest worker has {largest}"
        )
        self.job = job
        self.resource = resource
        self.asked = asked
        self.largest = largest


class JobStateError(CyclamenError):
    """A job cannot go from its state to another one.

    :param job: id of the job.
    :param found: its state.
    :param wanted: the state that was asked for.
    """

    def __init__(self, job: str, found: str, wanted: str):
        """Keep both states."""
        super().__init__(f"job {job} is {found} and cannot become {wanted}")
        self.job = job
        self.found = found
        self.wanted = wanted


class ControlLostError(CyclamenError):
    """A transaction found that the pool's control has moved on.

    :param pool: name of the pool.
    :param fence: fencing token that was held.
    """

    def __init__(self, pool: str, fence: int):
        """Keep the token."""
        super().__init__(f"control of pool {pool} at {fence} is lost")
        self.pool = pool
        self.fence = fence


class TaskRefusedError(CyclamenError):
    """A worker refused to start a task; the task did not run there.

    :param worker: name of the worker.
    :param task: id of the task.
    :param reason: ``full``, ``leaving`` or ``stopped``.
    """

    def __init__(self, worker: str, task: str, reason: str):
        """Keep the reason."""
        super().__init__(f"worker {worker} refused task {task}: {reason}")
        self.worker = worker
        self.task = task
        self.reason = reason


class CallError(CyclamenError):
    """A call over HTTP ended without an answer.

    :param reason: the transport's description.
    """

    def __init__(self, reason: str):
        """Keep the reason."""
        super().__init__(f"no answer: {reason}")
        self.reason = reason


class CallNotSentError(CallError):
    """The server cannot have read the call."""


class CallUnansweredError(CallError):
    """The call may have been carried out, or may be later."""


class JobError(CyclamenError):
    """Base of the refusals of a call about a job.

    :cvar code: machine-readable reason.
    :cvar status: HTTP status.
    """

    code = "job_error"
    status = 500


class NotAcceptedNowError(JobError):
    """A job was not stored and never will be; it may be sent again.

    :param reason: what stood in the way.
    :param retry_after_s: when to come back.
    """

    code = "not_accepted"
    status = 503

    def __init__(self, reason: str, retry_after_s: float):
        """Keep the parts."""
        super().__init__(f"not accepted: {reason}")
        self.reason = reason
        self.retry_after_s = retry_after_s


class UnknownOutcomeError(JobError):
    """It is not known whether a job was, or will be, stored.

    :param reason: what stood in the way.
    """

    code = "unknown"
    status = 504

    def __init__(self, reason: str):
        """Keep the reason."""
        super().__init__(f"outcome unknown: {reason}")
        self.reason = reason


class NoQueueError(JobError):
    """No queue has the host and path of a call."""

    code = "no_queue"
    status = 404


class NoJobError(JobError):
    """There is no job of that id."""

    code = "no_job"
    status = 410


class BadJobError(JobError):
    """A job that was handed in is malformed; it was not stored.

    :param field: name of the field, with its path.
    :param found: the value that was given.
    :param allowed: what is allowed, in words.
    """

    code = "bad_job"
    status = 400

    def __init__(self, field: str, found: object, allowed: str):
        """Keep the parts for programs, build the message for people."""
        super().__init__(f"{field}: found {found!r:.80}, allowed: {allowed}")
        self.field = field
        self.found = found
        self.allowed = allowed
