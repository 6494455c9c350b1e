"""Tests of orders without a response: what is repeated, and when."""

from collections import Counter

from cyclamenscale.errors import CallUnansweredError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from test.jobs.world import World, settled

LONG_RUNNING = Step(
    1, Resources(2.0, 4.0), long_running=True, max_unavailable=1
)
SHORT = Step(1, Resources(2.0, 4.0), estimate_ms=500.0)


class LossyWorkers:
    """Loses the responses to all calls from the first start on.

    The calls are carried out.
    """

    def __init__(self, world):
        """Replace the calls of a world."""
        self.workers = world.workers
        self.losing = True
        self.started = False
        for name in ("start", "stop", "poll"):
            setattr(self.workers, name, self.wrap(name))

    def wrap(self, name):
        """Return a call that may lose its response."""
        carry_out = getattr(self.workers, name)

        def call(*args):
            self.started = self.started or name == "start"
            response = carry_out(*args)
            if self.losing and self.started:
                return settled(error=CallUnansweredError("lost"))
            return response

        return call


def test_a_run_whose_start_had_no_response_is_kept_if_it_is_reported():
    """Guards against stopping healthy runs when responses are late."""
    world = World(workers=1)
    world.lead()
    world.run()
    lossy = LossyWorkers(world)
    world.submit("j1", LONG_RUNNING)
    world.run(0.5)
    ((task, number, worker),) = world.running()
    lossy.losing = False
    world.run(2.0)
    assert world.running() == [(task, number, worker)]
    assert not world.violations


def test_orders_are_not_repeated_to_a_silent_worker():
    """Guards against a retry storm that keeps the leader's link full."""
    world = World(workers=1)
    world.lead()
    world.run()
    for number in range(4):
        world.submit(f"j{number}", SHORT)
    world.run(0.1)
    sent: Counter = Counter()

    def count(name):
        def call(worker, order):
            sent[name, order.task] += 1
            return settled(error=CallUnansweredError("silent"))

        return call

    world.workers.workers["pool-a-0"].mode = "dark"
    world.workers.start, world.workers.stop = count("start"), count("stop")
    for number in range(4):
        world.coordinator.cancel_job(f"j{number}")
    for number in range(4, 8):
        world.submit(f"j{number}", SHORT)
    world.run(2.5)
    assert sent
    assert max(sent.values()) == 1


def test_polls_of_a_silent_worker_are_bounded():
    """Guards against polls that fill the link while workers are silent."""
    world = World(workers=1)
    world.lead()
    world.run()
    polls = []
    world.workers.poll = lambda worker, request, new_connection=False: (
        polls.append(request) or settled(error=CallUnansweredError("silent"))
    )
    world.submit("j1", SHORT)
    world.run(2.0)
    polls.clear()
    world.run(2.0)
    # A regular and an immediate poll every 0.4 s.
    assert len(polls) <= 12
