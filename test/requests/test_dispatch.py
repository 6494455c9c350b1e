"""Tests of the dispatcher over stand-in endpoints."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from cyclamenscale.errors import StoreAnswerLostError, StoreUnavailableError
from cyclamenscale.requests.outliers import PoolHealth
from cyclamenscale.requests.validation import CallerRequest
from cyclamenscale.settings import LimitsSettings, Settings
from cyclamenscale.util.clock import monotonic
from test.request_path import RequestPath

PLAN = CallerRequest("POST", "/plan", (("Cyclamen-Class", "plan"),), b"b")


def book(key="k1", body=b"b"):
    headers = (("Cyclamen-Class", "book"), ("Idempotency-Key", key))
    return CallerRequest("POST", "/book", headers, body)


@pytest.fixture
def path():
    with RequestPath() as made:
        yield made
        assert made.slots.in_use == 0
        assert made.dispatcher.wait_idle(0)
        assert not made.dispatcher.admission.by_endpoint


def outcome_of(path, request):
    """Handle a request, and return its outcome and reason."""
    result = path.dispatcher.handle(request)
    return result.outcome, result.error and result.error.reason


@pytest.mark.parametrize("die", ["length", "chunked", "unanswered"])
def test_repeatable_work_survives_a_truncated_answer(path, die):
    """Guards against lost requests when an endpoint fails in mid-response."""
    for endpoint in path.endpoints:
        endpoint.die = die
    path.endpoints[0].die = ""
    for _ in range(2):
        assert path.dispatcher.handle(PLAN).response.status == 200


@pytest.mark.parametrize("die", ["length", "chunked", "unanswered"])
def test_work_that_must_not_run_twice_ends_unknown(path, die):
    """Guards against a second run after a lost response."""
    for endpoint in path.endpoints:
        endpoint.die = die
    assert outcome_of(path, book())[0] == "unknown"
    assert sum(path.runs()) == 1
    assert outcome_of(path, book()) == ("unknown", "key_pending")
    assert sum(path.runs()) == 1


def test_a_closed_reused_connection_costs_a_counted_retry(path):
    """Guards against resends that the retry budget doesn't count."""
    for _ in range(4):
        path.dispatcher.handle(PLAN)
    for endpoint in path.endpoints:
        endpoint.die_on_reuse = True
    assert path.dispatcher.handle(PLAN).outcome == "answered"
    assert path.metrics.snapshot()["requests.retries"] == 1
    # A closed idle connection doesn't count against the endpoint.
    assert len(path.health.pool("p").usable(monotonic())) == 2


def test_a_silent_connection_does_not_hold_repeatable_work():
    """Guards against waiting on half-open connections instead of new ones."""
    with RequestPath(1, first_byte_timeout_s=0.05) as path:
        path.dispatcher.handle(PLAN)
        path.endpoints[0].go_silent()
        assert path.dispatcher.handle(PLAN).outcome == "answered"


def test_many_silent_connections_exclude_no_endpoint():
    """Guards against excluding endpoints because a middlebox lost state."""
    with (
        RequestPath(2, first_byte_timeout_s=0.5) as path,
        ThreadPoolExecutor(8) as pool,
    ):
        slow = PLAN._replace(headers=(*PLAN.headers, ("X-Run-Ms", "200")))
        list(pool.map(path.dispatcher.handle, [slow] * 8))
        for endpoint in path.endpoints:
            endpoint.go_silent()
        results = list(pool.map(path.dispatcher.handle, [slow] * 8))
        assert {result.outcome for result in results} == {"answered"}
        cut = path.metrics.snapshot()["endpoints.first_byte_timeout"]
        assert cut > 2 * path.settings.outliers.consecutive_failures
        assert len(path.health.pool("p").usable(monotonic())) == 2


def test_a_leaving_endpoint_gets_one_refused_request(path):
    """Guards against sending more requests to an endpoint that is leaving."""
    path.endpoints[0].leaving = True
    for number in range(6):
        assert outcome_of(path, book(f"k{number}"))[0] == "answered"
    assert path.endpoints[0].refused <= 1
    assert path.runs() == [0, 6]


def test_no_endpoint_means_not_run_and_frees_the_key(path):
    """Guards against a key claimed by a request that did not run."""
    for endpoint in path.endpoints:
        endpoint.leaving = True
    assert outcome_of(path, book()) == ("not_run", "no_slot")
    assert not path.claims.records
    assert path.runs() == [0, 0]


def test_after_a_sent_try_nothing_is_called_not_run(path):
    """Guards against ``not_run`` for a request that may have run."""
    path.endpoints[0].die = "unanswered"
    path.endpoints[1].leaving = True
    path.slots.next_endpoint = "e0"
    outcome = path.dispatcher.handle(PLAN).outcome
    assert path.runs()[0] > 0
    assert outcome == "unknown"


def test_retries_stay_under_the_budget():
    """Guards against a storm of retries when a whole pool fails."""
    limits = LimitsSettings(retry_share=0.1, retry_burst=2)
    with RequestPath(settings=Settings(limits=limits)) as path:
        for endpoint in path.endpoints:
            endpoint.die = "unanswered"
        for _ in range(40):
            path.dispatcher.handle(PLAN)
        assert sum(path.runs()) <= 40 + 0.1 * 40 + 2


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        (StoreUnavailableError("txn", "down"), "store_unavailable"),
        (StoreAnswerLostError("txn", "lost"), "claim_unconfirmed"),
    ],
)
def test_without_a_claim_nothing_runs(path, fault, reason):
    """Guards against unclaimed runs while the store is unavailable.

    Repeatable requests must still run.
    """
    path.claims.fault = fault
    assert outcome_of(path, book()) == ("not_run", reason)
    assert path.runs() == [0, 0]
    assert outcome_of(path, PLAN)[0] == "answered"


def test_a_repetition_gets_the_recorded_answer(path):
    """Guards against a second run of the same key."""
    first = path.dispatcher.handle(book())
    again = path.dispatcher.handle(book())
    assert again.response == first.response
    assert outcome_of(path, book(body=b"other")) == ("not_run", "key_reused")
    assert sum(path.runs()) == 1


def test_concurrent_repetitions_run_once(path):
    """Guards against two runs of a key in concurrent requests."""
    with ThreadPoolExecutor(8) as pool:
        results = list(pool.map(lambda _: outcome_of(path, book()), range(16)))
    assert sum(path.runs()) == 1
    assert {outcome for outcome, _ in results} <= {"answered", "unknown"}


def test_a_slot_of_an_endpoint_that_left_is_given_back(path):
    """Guards against use of a slot whose endpoint has left since."""
    path.health.pool("p").record_leaving("e0", "record", monotonic())
    path.slots.next_endpoint = "e0"
    assert outcome_of(path, book())[0] == "answered"
    assert path.runs() == [0, 1]


def test_freshness_is_checked_again_after_the_wait(path):
    """Guards against sending after the entry has lost its freshness."""
    acquire = path.slots.acquire

    def lose_freshness(*arguments):
        path.fresh = False
        return acquire(*arguments)

    path.slots.acquire = lose_freshness
    assert outcome_of(path, book()) == ("not_run", "not_fresh")
    assert path.runs() == [0, 0]
    assert not path.claims.records


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Cyclamen-Class", "none"),
        ("Cyclamen-Deadline-Ms", "0"),
        ("Cyclamen-Deadline-Ms", "\u0661"),
        ("Cyclamen-Deadline-Ms", "9" * 30),
        ("Idempotency-Key", "k" * 256),
        ("X-Any", "a\r\nX-Injected: 1"),
    ],
)
def test_bad_headers_are_refused(path, name, value):
    """Guards against invalid header values that reach the endpoints."""
    headers = (*(h for h in PLAN.headers if h[0] != name), (name, value))
    request = PLAN._replace(headers=headers)
    assert outcome_of(path, request) == ("not_run", "bad_request")
    assert path.runs() == [0, 0]


def test_shutdown_lets_requests_end_and_admits_no_more(path):
    """Guards against a graceful shutdown that cuts off requests."""
    slow = PLAN._replace(headers=(*PLAN.headers, ("X-Run-Ms", "200")))
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(outcome_of, path, slow)
        while not any(e.running for e in path.endpoints):
            path.endpoints[0].wait_for(lambda: any(path.runs()), 0.01)
        counted = [path.dispatcher.in_progress_at(f"e{n}") for n in (0, 1)]
        assert sum(counted) == 1
        path.dispatcher.begin_shutdown()
        assert outcome_of(path, PLAN) == ("not_run", "shutting_down")
        assert path.dispatcher.wait_idle(10.0)
        assert running.result()[0] == "answered"


def test_a_lost_rack_sheds_the_least_urgent_class_first(path):
    """Guards against overloading the remaining endpoints of a pool."""
    low = path.view.classes["plan"]._replace(
        name="papers", finish_within_ms=60000
    )
    view = path.view._replace(classes={**path.view.classes, "papers": low})
    admission = path.dispatcher.admission

    class LostRackHealth(PoolHealth):
        def failed_domains(self, now_s):
            return ["dc/rack"]

        def usable(self, now_s):
            return {"e0": 2}

    health = LostRackHealth("p", path.settings.outliers)
    admitted = []
    for wanted in ["papers"] * 6 + ["plan"] * 6:
        try:
            admission.admit(view.classes[wanted], view, health, 0.0)
            admitted.append(wanted)
        except Exception as error:
            assert error.reason == "shed"
    assert admitted == ["papers"] * 4 + ["plan"] * 4


def test_explain_shows_the_steps(path):
    """Guards against requests whose steps can't be traced afterwards."""
    result = path.dispatcher.handle(PLAN)
    trace = path.dispatcher.explain(result.request_id)
    steps = [step["step"] for step in trace["steps"]]
    assert steps == ["admitted", "slot", "send", "answer"]
    assert trace["outcome"] == "answered"
    assert path.dispatcher.explain("none") is None
