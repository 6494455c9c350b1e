"""The HTTP API through which callers manage jobs, as a WSGI application."""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as WaitTimeoutError
from re import compile as pattern

from msgspec import json
from werkzeug.wrappers import Request, Response

from cyclamenscale.errors import BadJobError, JobError, UnknownOutcomeError
from cyclamenscale.jobs.calls import JobCalls
from cyclamenscale.jobs.model import Queue
from cyclamenscale.platform import decode
from cyclamenscale.platform.names import DEADLINE_HEADER, JOB_STATE_NAMES
from cyclamenscale.util.loop import Loop

#: Waiting time of a caller that doesn't state one, and maximum of any caller.
DEFAULT_WAIT_S = 3.0
MAX_WAIT_S = 30.0

#: Longest wait of a request while the entry drains.
DRAIN_WAIT_S = 1.0

JOB_ID = pattern(r"[0-9a-fA-F]{16}")

JSON = "application/json"


def json_response(
    status: int, body: dict, headers: dict | None = None
) -> Response:
    """Build a JSON response."""
    return Response(json.encode(body), status, headers, mimetype=JSON)


def error_response(error: JobError) -> Response:
    """Build the response to a request that failed."""
    headers = {}
    retry_after_s = getattr(error, "retry_after_s", 0.0)
    if retry_after_s:
        headers["Retry-After"] = str(max(round(retry_after_s), 1))
    body = {"error": error.code, "message": str(error)}
    return json_response(error.status, body, headers)


class JobApi:
    """Translates callers' requests to job calls and waits for the outcome.

    :param calls: the job calls; they run in the loop's thread.
    :param loop: the event loop.
    """

    def __init__(self, calls: JobCalls, loop: Loop):
        """Initialise with the job calls and the event loop."""
        self.calls = calls
        self.loop = loop

    def __call__(self, environ: dict, start_response: Callable):
        """Serve one request."""
        request = Request(environ)
        try:
            response = self.serve(request)
        except JobError as error:
            response = error_response(error)
        return response(environ, start_response)

    def serve(self, request: Request) -> Response:
        """Route a request and return its response.

        :raises JobError: if the request fails.
        """
        # The manifest is only ever replaced as a whole, so reading it in
        # this thread is safe.
        host = request.host.rpartition(":")[0] or request.host
        queue = self.calls.route(host, request.path)
        job = request.path.removeprefix(queue.prefix)
        wait_s = caller_wait_s(request)
        if self.calls.entry.draining:
            # The response must be sent before the entry has to exit.
            wait_s = min(wait_s, DRAIN_WAIT_S)
        if not job and request.method == "GET":
            count = self.call(lambda: self.calls.count_pending(queue), wait_s)
            return json_response(200, {"pending": count})
        if not JOB_ID.fullmatch(job):
            raise BadJobError("id", job, "16 hexadecimal digits")
        return self.serve_job(request, queue, job, wait_s)

    def serve_job(
        self, request: Request, queue: Queue, job: str, wait_s: float
    ) -> Response:
        """Serve a request about one job."""
        calls = self.calls
        if request.method == "POST":
            spec = decode.job_spec(request.get_data())
            self.call(lambda: calls.submit(queue, job, spec, wait_s), wait_s)
            return json_response(200, {})
        if request.method == "GET":
            state = self.call(lambda: calls.state(queue, job), wait_s)
            return json_response(200, {"state": JOB_STATE_NAMES[state]})
        if request.method == "DELETE":
            self.call(lambda: calls.cancel(queue, job, wait_s), wait_s)
            return json_response(200, {})
        raise BadJobError("method", request.method, "POST, GET or DELETE")

    def call(self, run: Callable, wait_s: float):
        """Run a job call in the loop's thread and wait for its outcome.

        :raises UnknownOutcomeError: if it takes longer than the caller
            waits.
        """
        outcome: Future = self.loop.submit(run)
        try:
            return outcome.result(wait_s)
        except WaitTimeoutError:
            raise UnknownOutcomeError("the entry took too long") from None


def caller_wait_s(request: Request) -> float:
    """Return how long a caller waits for a response."""
    text = request.environ.get(DEADLINE_HEADER, "")
    try:
        wait_s = float(text) / 1000
    except ValueError:
        return DEFAULT_WAIT_S
    return min(max(wait_s, 0.05), MAX_WAIT_S)
