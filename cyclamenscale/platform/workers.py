"""HTTP client of the workers and of the placement advice service."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from loguru import logger
from msgspec import json

from cyclamenscale.errors import CallUnansweredError, FieldError
from cyclamenscale.jobs.model import WorkerRecord
from cyclamenscale.jobs.ports import (
    OrderResponse,
    PollRequest,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerCalls,
)
from cyclamenscale.platform import decode
from cyclamenscale.platform.names import TARGET_HEADER
from cyclamenscale.settings import Settings
from cyclamenscale.util.codec import from_json
from cyclamenscale.util.http_client import HttpClient, HttpResponse

#: Timeout of an order; a healthy worker responds in a few milliseconds.
ORDER_TIMEOUT_MS = 300

#: Timeout of a start, which can safely be sent again.
START_TIMEOUT_MS = 200

#: Added to the time that a poll may wait, for its timeout.
POLL_MARGIN_MS = 250

#: Added to the time that an advice call should take, for its timeout; the
#: service handles one call at a time.
ADVICE_MARGIN_MS = 2000

#: Reasons of refusals that the status alone determines.
STATUS_REASONS = {
    421: "other_life",
    429: "unhealthy",
    503: "unhealthy",
    400: "bad",
}


def decode_order_response(answer: HttpResponse) -> OrderResponse:
    """Decode the response to an order."""
    table = from_json(answer.body, "order") if answer.body else {}
    if not isinstance(table, dict):
        table = {}
    clock_ms = table.get("clock-ms", 0)
    if not isinstance(clock_ms, int):
        clock_ms = 0
    if answer.status == 200:
        return OrderResponse(True, "", clock_ms, answer.resent)
    reason = STATUS_REASONS.get(answer.status)
    if answer.status == 409:
        reason = str(table.get("reason", "unhealthy"))
    return OrderResponse(False, reason or "unhealthy", clock_ms, answer.resent)


def decode_poll_response(answer: HttpResponse) -> Any:
    """Decode the response to a poll."""
    if answer.status == 200:
        return decode.worker_report(answer.body)
    return decode_order_response(answer)


def decode_response(
    call: Future, read: Callable[[HttpResponse], Any]
) -> Future:
    """Return a future of the decoded response to a call."""
    outcome: Future = Future()

    def settle(done: Future) -> None:
        if done.exception():
            outcome.set_exception(done.exception())
            return
        try:
            found = read(done.result())
        except FieldError as error:
            outcome.set_exception(CallUnansweredError(str(error)))
        except Exception as error:
            # A call that never ends would block its worker for good.
            logger.exception("response of a worker can't be read")
            outcome.set_exception(CallUnansweredError(repr(error)))
        else:
            outcome.set_result(found)

    call.add_done_callback(settle)
    return outcome


class HttpWorkers(WorkerCalls):
    """Calls workers at their registered addresses.

    :param settings: ``[platform] advice_address`` is used.
    :param client: the HTTP client.
    """

    def __init__(self, settings: Settings, client: HttpClient):
        """Initialise with the HTTP client."""
        self.advice_address = settings.platform.advice_address
        self.client = client

    def post(
        self,
        worker: WorkerRecord,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
        new_connection: bool = False,
    ) -> Future:
        """Send an order to one incarnation of a worker."""
        return self.client.request(
            "POST",
            f"http://{worker.address}{path}",
            json.encode(body),
            (f"{TARGET_HEADER}: {worker.id}",),
            timeout_ms,
            new_connection,
        )

    def start(self, worker: WorkerRecord, order: StartOrder) -> Future:
        """Start a task."""
        body = {
            "task": order.task,
            "run-id": order.run,
            "spec": order.payload,
            "deadline-ms": order.deadline_ms,
            "fencing-token": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        call = self.post(worker, "/run-start", body, START_TIMEOUT_MS)
        return decode_response(call, decode_order_response)

    def stop(self, worker: WorkerRecord, order: StopOrder) -> Future:
        """Stop a run."""
        body = {
            "task": order.task,
            "run-id": order.run,
            "fencing-token": order.fence,
        }
        call = self.post(worker, "/run-stop", body, ORDER_TIMEOUT_MS)
        return decode_response(call, decode_order_response)

    def throttle(self, worker: WorkerRecord, order: ThrottleOrder) -> Future:
        """Throttle a run."""
        body = {
            "task": order.task,
            "run-id": order.run,
            "percent": order.percent,
            "fencing-token": order.fence,
        }
        call = self.post(worker, "/pace", body, ORDER_TIMEOUT_MS)
        return decode_response(call, decode_order_response)

    def poll(
        self,
        worker: WorkerRecord,
        request: PollRequest,
        new_connection: bool = False,
    ) -> Future:
        """Poll a worker; a deadline in the request renews its task lease."""
        body: dict[str, Any] = {
            "fencing-token": request.fence,
            "last-seen": request.acknowledged_end,
        }
        if request.deadline_ms:
            body["deadline-ms"] = request.deadline_ms
        if request.wait_ms:
            body["wait-ms"] = request.wait_ms
        timeout_ms = request.wait_ms + POLL_MARGIN_MS
        call = self.post(worker, "/hold", body, timeout_ms, new_connection)
        return decode_response(call, decode_poll_response)

    def advise(
        self, step: str, workers: list[str], expected_ms: int
    ) -> Future:
        """Request placement tickets."""

        def decode_tickets(answer: HttpResponse) -> dict[str, str] | None:
            if answer.status != 200:
                return None
            table = from_json(answer.body, "advice")
            return {str(row[0]): str(row[1]) for row in table["allowed"]}

        call = self.client.request(
            "POST",
            f"http://{self.advice_address}/advise",
            json.encode({"step": step, "workers": workers}),
            timeout_ms=expected_ms + ADVICE_MARGIN_MS,
        )
        return decode_response(call, decode_tickets)
