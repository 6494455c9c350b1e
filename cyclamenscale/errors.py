"""Exception types of the project.

Each class stores the values that describe the failure as attributes and
builds its message from them, so that callers never match on message text.
The messages of :class:`UserError` and its subclasses are shown to operators;
:class:`RequestError` and :class:`JobError` are sent to callers; all others
are internal.
"""

from reprlib import Repr

#: Describes rejected values in messages: other programs may send values that
#: are large or too deeply nested for :func:`repr`.
VALUE_REPR = Repr()
VALUE_REPR.maxstring = VALUE_REPR.maxother = 200
VALUE_REPR.maxlong = 60


class CyclamenError(Exception):
    """Base of all exceptions of the project."""


class UserError(CyclamenError):
    """A failure whose message is shown to the user.

    :cvar code: machine-readable name, stable between releases.
    :cvar exit_status: exit status of a command that ends with this error.
    """

    code = "user_error"
    exit_status = 1


class FieldError(UserError):
    """A value is not allowed; nothing was changed.

    :param field: name of the field, with its path.
    :param found: the value that was given.
    :param allowed: description of the allowed values.
    """

    code = "bad_field"
    exit_status = 2

    def __init__(self, field: str, found: object, allowed: str):
        """Store the parts as attributes and build the message from them."""
        text = VALUE_REPR.repr(found)
        super().__init__(f"{field}: found {text}, allowed: {allowed}")
        self.field = field
        self.found = found
        self.allowed = allowed


class SettingError(FieldError):
    """A section, key or value of a settings file is invalid.

    :param file: path of the file.
    :param section: section of the file.
    :param key: key in the section.
    :param found: the text that was found.
    :param allowed: description of the allowed values.
    """

    code = "bad_setting"

    def __init__(
        self, file: str, section: str, key: str, found: object, allowed: str
    ):
        """Store the location of the key and the parts of the message."""
        super().__init__(f"{file} [{section}] {key}", found, allowed)
        self.file = file
        self.section = section
        self.key = key


class SettingsErrors(ExceptionGroup):
    """All errors in a settings file, each a :class:`SettingError`."""


class NotFoundError(UserError):
    """A named record does not exist.

    :param kind: kind of record, such as ``class``.
    :param name: its name.
    """

    code = "not_found"

    def __init__(self, kind: str, name: str):
        """Store kind and name."""
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
        """Store both records, so that the operator can compare them."""
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
        """Store the id of the change."""
        super().__init__(f"change {change_id} was not accepted: {reason}")
        self.change_id = change_id
        self.reason = reason


class OutcomeUnknownError(UserError):
    """It is unknown whether a change is, or will be, in force.

    :param change_id: id to query the change by.
    :param reason: which confirmation or data is missing.
    """

    code = "outcome_unknown"
    exit_status = 5

    def __init__(self, change_id: str, reason: str):
        """Store the id of the change."""
        super().__init__(
            f"outcome unknown, query change {change_id}: {reason}"
        )
        self.change_id = change_id
        self.reason = reason


class UnreachableError(UserError):
    """No server responded to a command.

    :param url: address that was tried.
    :param reason: what went wrong.
    """

    code = "unreachable"
    exit_status = 6

    def __init__(self, url: str, reason: str):
        """Store the address."""
        super().__init__(f"no answer from {url}: {reason}")
        self.url = url
        self.reason = reason


class NotFreshError(UserError):
    """An entry may have missed accepted changes and returns no records.

    :param reason: which confirmation or data is missing.
    """

    code = "not_fresh"
    exit_status = 8

    def __init__(self, reason: str):
        """Store the reason."""
        super().__init__(f"the entry's configuration may be old: {reason}")
        self.reason = reason


class ServerFaultError(UserError):
    """An entry answered a command with an internal error.

    :param url: address that answered.
    :param status: HTTP status of the response.
    :param message: message in the response.
    """

    code = "server_fault"
    exit_status = 7

    def __init__(self, url: str, status: int, message: str):
        """Store the address and the status."""
        super().__init__(f"{url} answered {status}: {message}")
        self.url = url
        self.status = status
        self.message = message


class StoreError(CyclamenError):
    """Base of failures of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The store did not execute the call; nothing was written.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Store the name of the call."""
        super().__init__(f"store call {operation} failed: {reason}")
        self.operation = operation
        self.reason = reason


class StoreAnswerLostError(StoreError):
    """The call may have taken effect; its response was lost.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Store the name of the call."""
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
        """Store the id of the lease."""
        super().__init__(f"lease {lease_id} does not exist any more")
        self.lease_id = lease_id


class CompactedError(StoreError):
    """A watch requested a revision that the store has compacted.

    :param revision: oldest revision that can be watched.
    """

    def __init__(self, revision: int):
        """Store the oldest revision."""
        super().__init__(f"history before revision {revision} is compacted")
        self.revision = revision


class PlatformUnavailableError(CyclamenError):
    """A call to the platform for its instance list or an action failed.

    :param operation: name of the call.
    :param reason: what went wrong.
    """

    def __init__(self, operation: str, reason: str):
        """Store the name of the call."""
        super().__init__(f"platform call {operation} failed: {reason}")
        self.operation = operation
        self.reason = reason


class StaleFenceError(CyclamenError):
    """An action carried an older fencing token than one seen before.

    :param pool: pool that has a newer fencing token.
    :param fence: the token that was refused.
    """

    def __init__(self, pool: str, fence: int):
        """Store the token."""
        super().__init__(f"fencing token {fence} of pool {pool} is stale")
        self.pool = pool
        self.fence = fence


class RequestError(CyclamenError):
    """Base of all outcomes of a request other than a complete response.

    :param reason: machine-readable reason.
    :param message: one sentence for the caller.
    :param retry_after_s: seconds after which a retry may succeed, or None.
    :cvar outcome: ``not_run`` or ``unknown``.
    """

    outcome = "unknown"

    def __init__(
        self, reason: str, message: str, retry_after_s: float | None = None
    ):
        """Store the reason, the message and the time of a retry."""
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
    :param found: the value that was given.
    :param allowed: description of the allowed values.
    """

    def __init__(self, field: str, found: object, allowed: str):
        """Store the parts as attributes and build the message from them."""
        super().__init__(
            "bad_request", f"{field}: found {found!r}, allowed: {allowed}"
        )
        self.field = field
        self.found = found
        self.allowed = allowed


class KeyReusedError(NotRunError):
    """An idempotency key was used again with a different request.

    :param key: the idempotency key.
    """

    def __init__(self, key: str):
        """Store the key."""
        super().__init__(
            "key_reused",
            f"Idempotency-Key {key!r} was used for a different request",
        )
        self.key = key


class KeyPendingError(OutcomeNotKnownError):
    """An idempotency key is claimed, or its response is not available.

    :param key: the idempotency key.
    :param state: ``claimed``, ``unknown`` or ``answer_not_kept``.
    """

    def __init__(self, key: str, state: str):
        """Store the key and the state of its claim."""
        super().__init__(
            "key_pending",
            f"Idempotency-Key {key!r} has no answer to give, state: {state}",
        )
        self.key = key
        self.state = state


class EndpointError(CyclamenError):
    """An attempt at an endpoint ended without a complete response.

    :param endpoint: name of the endpoint.
    :param reason: machine-readable reason.
    :param sent: whether a byte of the request may have reached it.
    """

    def __init__(self, endpoint: str, reason: str, sent: bool):
        """Store what decides whether the request may be sent again."""
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
        """Store whether the endpoint is leaving."""
        super().__init__(endpoint, "refused", sent=False)
        self.leaving = leaving


class FrameError(CyclamenError):
    """A frame from a peer could not be decoded.

    :param reason: ``size``, ``version`` or ``garbage``.
    """

    def __init__(self, reason: str):
        """Store the reason; the name of the counter contains it."""
        super().__init__(f"frame dropped: {reason}")
        self.reason = reason


class ComponentFailedError(CyclamenError):
    """A component failed more often than its supervisor allows.

    :param component: name of the component.
    :param restarts: number of its restarts.
    """

    def __init__(self, component: str, restarts: int):
        """Store the name of the component."""
        super().__init__(
            f"component {component} failed after {restarts} restarts"
        )
        self.component = component
        self.restarts = restarts


class ComponentReturnedError(CyclamenError):
    """A component returned before its stop event was set.

    :param component: name of the component.
    """

    def __init__(self, component: str):
        """Store the name of the component."""
        super().__init__(f"component {component} ended without being stopped")
        self.component = component


class JobImpossibleError(UserError):
    """No worker of the pool is large enough for a job, even when idle.

    :param job: id of the job.
    :param resource: the resource that no worker has enough of, or
        ``combination`` if there is enough of each, but not on one worker.
    :param asked: amount that the job needs.
    :param largest: largest amount on any worker.
    """

    code = "job_impossible"
    exit_status = 9

    def __init__(
        self, job: str, resource: str, asked: object, largest: object
    ):
        """Store the requested and the largest available amount."""
        super().__init__(
            f"job {job} can never run: it needs {asked} of {resource}, "
            f"the largest worker has {largest}"
        )
        self.job = job
        self.resource = resource
        self.asked = asked
        self.largest = largest


class JobStateError(CyclamenError):
    """A job cannot change from its state to the requested one.

    :param job: id of the job.
    :param found: its state.
    :param wanted: the requested state.
    """

    def __init__(self, job: str, found: str, wanted: str):
        """Store both states."""
        super().__init__(f"job {job} is {found} and cannot become {wanted}")
        self.job = job
        self.found = found
        self.wanted = wanted


class ControlLostError(CyclamenError):
    """A transaction failed because control of the pool is no longer held.

    :param pool: name of the pool.
    :param fence: fencing token under which control was held.
    """

    def __init__(self, pool: str, fence: int):
        """Store the token."""
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
        """Store the reason."""
        super().__init__(f"worker {worker} refused task {task}: {reason}")
        self.worker = worker
        self.task = task
        self.reason = reason


class CallError(CyclamenError):
    """A call over HTTP ended without a response.

    :param reason: error message of the transport.
    """

    def __init__(self, reason: str):
        """Store the reason."""
        super().__init__(f"no answer: {reason}")
        self.reason = reason


class CallNotSentError(CallError):
    """The server cannot have read the call."""


class CallUnansweredError(CallError):
    """The call may have taken effect, or may still do so."""


class JobError(CyclamenError):
    """Base of the errors returned for a call about a job.

    :cvar code: machine-readable reason.
    :cvar status: HTTP status.
    """

    code = "job_error"
    status = 500


class NotAcceptedNowError(JobError):
    """A job was not stored and will not be; it may be submitted again.

    :param reason: why it could not be stored.
    :param retry_after_s: seconds after which to retry.
    """

    code = "not_accepted"
    status = 503

    def __init__(self, reason: str, retry_after_s: float):
        """Store the reason and the time of a retry."""
        super().__init__(f"not accepted: {reason}")
        self.reason = reason
        self.retry_after_s = retry_after_s


class UnknownOutcomeError(JobError):
    """It is unknown whether a job was, or will be, stored.

    :param reason: why the outcome is unknown.
    """

    code = "unknown"
    status = 504

    def __init__(self, reason: str):
        """Store the reason."""
        super().__init__(f"outcome unknown: {reason}")
        self.reason = reason


class NoQueueError(JobError):
    """No queue matches the host and path of a call."""

    code = "no_queue"
    status = 404


class NoJobError(JobError):
    """No job has the id of a call."""

    code = "no_job"
    status = 410


class BadJobError(JobError):
    """A submitted job is malformed; it was not stored.

    :param field: name of the field, with its path.
    :param found: the value that was given.
    :param allowed: description of the allowed values.
    """

    code = "bad_job"
    status = 400

    def __init__(self, field: str, found: object, allowed: str):
        """Store the parts as attributes and build the message from them."""
        text = VALUE_REPR.repr(found)
        super().__init__(f"{field}: found {text:.80}, allowed: {allowed}")
        self.field = field
        self.found = found
        self.allowed = allowed
