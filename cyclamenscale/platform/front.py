"""The platform's calls of callers about jobs, as a WSGI application."""

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
from cyclamenscale.platform.names import DEADLINE_HEADER, STATE_WORDS
from cyclamenscale.util.loop import Loop

#: Callers that don't say how long they wait.
WAIT_DEFAULT_S = 3.0
WAIT_MAX_S = 30.0

#: Longest wait of a call at an entry that stops.
DRAIN_WAIT_S = 1.0

JOB_ID = pattern(r"[0-9a-fA-F]{16}")

JSON = "application/json"


def answer(status: int, body: dict, headers: dict | None = None) -> Response:
    """Make a JSON answer."""
    return Response(json.encode(body), status, headers, mimetype=JSON)


def refusal(error: JobError) -> Response:
    """Make the answer to a call that fails."""
    headers = {}
    retry_after_s = getattr(error, "retry_after_s", 0.0)
    if retry_after_s:
        headers["Retry-After"] = str(max(round(retry_after_s), 1))
    body = {"error": error.code, "message": str(error)}
    return answer(error.status, body, headers)


class JobFront:
    """Translates callers' calls and waits for their outcome.

    :param calls: does the work, in the loop's thread.
    :param loop: that loop.
    """

    def __init__(self, calls: JobCalls, loop: Loop):
        """Keep both."""
        self.calls = calls
        self.loop = loop

    def __call__(self, environ: dict, start_response: Callable):
        """Serve one call."""
        request = Request(environ)
        try:
            response = self.serve(request)
        except JobError as error:
            response = refusal(error)
        return response(environ, start_response)

    def serve(self, request: Request) -> Response:
        """Route a call and answer it.

        :raises JobError: if it fails.
        """
        # A manifest is replaced whole, so this thread may read it.
        host = request.host.rpartition(":")[0] or request.host
        queue = self.calls.route(host, request.path)
        job = request.path.removeprefix(queue.prefix)
        wait_s = caller_wait_s(request)
        if self.calls.entry.draining:
            # The answer must be out before the entry has to leave.
            wait_s = min(wait_s, DRAIN_WAIT_S)
        if not job and request.method == "GET":
            count = self.call(lambda: self.calls.count_pending(queue), wait_s)
            return answer(200, {"pending": count})
        if not JOB_ID.fullmatch(job):
            raise BadJobError("id", job, "16 hexadecimal digits")
        return self.serve_job(request, queue, job, wait_s)

    def serve_job(
        self, request: Request, queue: Queue, job: str, wait_s: float
    ) -> Response:
        """Answer a call about one job."""
        calls = self.calls
        if request.method == "POST":
            spec = decode.job_spec(request.get_data())
            self.call(lambda: calls.submit(queue, job, spec, wait_s), wait_s)
            return answer(200, {})
        if request.method == "GET":
            state = self.call(lambda: calls.state(queue, job), wait_s)
            return answer(200, {"state": STATE_WORDS[state]})
        if request.method == "DELETE":
            self.call(lambda: calls.cancel(queue, job, wait_s), wait_s)
            return answer(200, {})
        raise BadJobError("method", request.method, "POST, GET or DELETE")

    def call(self, run: Callable, wait_s: float):
        """Run a call in the loop's thread and wait for its outcome.

        :raises UnknownOutcomeError: if it takes longer than the caller
            waits.
        """
        outcome: Future = self.loop.submit(run)
        try:
            return outcome.result(wait_s)
        except WaitTimeoutError:
            raise UnknownOutcomeError("the entry took too long") from None


def caller_wait_s(request: Request) -> float:
    """Return how long a caller waits for an answer."""
    text = request.environ.get(DEADLINE_HEADER, "")
    try:
        wait_s = float(text) / 1000
    except ValueError:
        return WAIT_DEFAULT_S
    return min(max(wait_s, 0.05), WAIT_MAX_S)
