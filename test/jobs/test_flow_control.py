"""Tests of the limit on starts in flight: a leader on a narrow link."""

from collections import Counter
from concurrent.futures import Future
from heapq import heappop, heappush

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.flow_control import (
    INITIAL_WINDOW,
    MIN_WINDOW,
    SAMPLE_SIZE,
    StartWindow,
)
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.ports import OrderResponse
from test.jobs.world import QUEUE, World

#: Timeout after which a start counts as unanswered.
TIMEOUT_S = 0.2

ROUND_TRIP_S = 0.005


def play_link(starts_per_s: float, demand: int, for_s: float = 10.0):
    """Send starts over a link that carries a limited number of them.

    :param starts_per_s: capacity of the link.
    :param demand: starts that are always waiting to be sent.
    :returns: window, and the numbers of starts answered and unanswered.
    """
    window = StartWindow()
    now_s = link_free_s = 0.0
    ends: list[tuple[float, float]] = []
    answered = unanswered = 0
    while now_s < for_s:
        for _ in range(demand):
            if window.is_full:
                break
            window.record_sent()
            link_free_s = max(link_free_s, now_s) + 1 / starts_per_s
            took_s = link_free_s - now_s + ROUND_TRIP_S
            heappush(ends, (now_s + min(took_s, TIMEOUT_S), took_s))
        now_s += 0.01
        while ends and ends[0][0] <= now_s:
            end_s, took_s = heappop(ends)
            if took_s < TIMEOUT_S:
                answered += 1
                window.record_response(took_s, end_s)
            else:
                unanswered += 1
                window.record_unanswered(end_s)
    return window, answered, unanswered


def test_a_narrow_link_is_used_but_not_overfilled():
    """Guards against a leader whose link is kept full by timed-out starts."""
    _, answered, unanswered = play_link(800.0, 1000)
    assert unanswered < 0.05 * answered
    assert answered > 0.8 * 800 * 10


def test_a_wide_link_is_not_limited():
    """Guards against a window that slows a leader without congestion."""
    window, answered, unanswered = play_link(20000.0, 400)
    assert unanswered == 0
    assert window.size >= 400


def test_a_few_silent_workers_do_not_shrink_the_window():
    """Guards against one dark rack limiting the starts everywhere else."""
    window = StartWindow()
    for number in range(200):
        window.record_sent()
        if number % 4 == 0:
            window.record_unanswered(number * 0.01)
        else:
            window.record_response(ROUND_TRIP_S, number * 0.01)
    assert window.size == INITIAL_WINDOW


def test_the_window_never_closes():
    """Guards against a leader that starts nothing after an outage."""
    window = StartWindow()
    for number in range(100 * SAMPLE_SIZE):
        window.record_sent()
        window.record_unanswered(number * 0.01)
    assert window.size == MIN_WINDOW
    assert not window.is_full


class FullWindow:
    """Two pools with more tasks than a window of two starts takes.

    :ivar started: starts by pool.
    """

    def __init__(self):
        """Accept jobs; starts are answered by :meth:`answer`."""
        self.world = World(workers=2, pools=("pool-a", "pool-b"))
        self.coordinator = self.world.lead()
        self.world.run()
        self.coordinator.orders.window.size = 2
        self.started: Counter[str] = Counter()
        self.unanswered: list[Future] = []
        self.world.workers.start = self.start
        step = Step(4, Resources(2.0, 4.0))
        for number in range(12):
            for pool in ("pool-a", "pool-b"):
                queue = QUEUE._replace(name=pool, pool=pool)
                self.world.submit(f"{pool}-j{number}", step, queue=queue)

    def start(self, worker, order):
        """Count a start."""
        self.started[worker.pool] += 1
        self.unanswered.append(Future())
        return self.unanswered[-1]

    def answer(self):
        """Accept all starts in flight."""
        while self.unanswered:
            response = OrderResponse(True, "", 1)
            self.unanswered.pop().set_result(response)


def test_a_full_window_is_shared_by_the_pools():
    """Guards against one pool that uses all starts in flight."""
    full = FullWindow()
    for _ in range(8):
        full.world.run(0.05)
        full.answer()
    assert sum(full.started.values()) == 16
    assert full.started["pool-a"] == full.started["pool-b"]


def test_passes_with_a_full_window_do_not_pass_over_a_pool():
    """Guards against a pool that is first only when the window is full.

    Events cause a second pass between the responses to the starts.
    """
    full = FullWindow()
    for _ in range(16):
        full.world.run(0.05)
        full.coordinator.state.mark_changed()
        full.coordinator.run_once()
        full.answer()
    assert full.started["pool-a"] and full.started["pool-b"]
