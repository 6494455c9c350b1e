"""Tests of the links between entries, over real sockets."""

import threading
from concurrent.futures import Future

import pytest

from cyclamenscale.errors import CallNotSentError, CallUnansweredError
from cyclamenscale.util.loop import Loop
from cyclamenscale.util.peer_calls import PeerCalls

PATIENCE_S = 10.0


class Node:
    """A loop with its links, in a thread.

    :ivar take: answers questions.
    """

    def __init__(self):
        """Start and answer each question with itself."""
        self.loop = Loop()
        self.calls = PeerCalls(self.loop, "127.0.0.1:0")
        self.asked = threading.Event()
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()
        self.call(lambda: self.calls.start(self.take))

    def call(self, run):
        """Run a call in the loop's thread."""
        return self.loop.submit(run).result(PATIENCE_S)

    def take(self, question: bytes) -> Future:
        """Answer a question, or leave it open."""
        self.asked.set()
        answer: Future = Future()
        if question != b"hold":
            answer.set_result(b"to " + question)
        return answer

    def connect(self, *others):
        """Connect to other nodes and wait until a question comes back."""
        addresses = {other.calls.address for other in others}
        self.call(lambda: self.calls.connect(addresses))
        for address in addresses:
            while self.ask(address, b"ready?").exception(PATIENCE_S):
                pass

    def ask(self, address, question, timeout_s=PATIENCE_S) -> Future:
        """Ask another node; the outcome is not awaited."""
        outcome: Future = Future()

        def carry_out():
            asked = self.calls.request(address, question, timeout_s)
            asked.add_done_callback(settle)

        def settle(done):
            if done.exception():
                outcome.set_exception(done.exception())
            else:
                outcome.set_result(done.result())

        self.loop.submit(carry_out)
        return outcome

    def stop(self):
        """Close the links and stop the loop."""
        self.call(self.calls.close)
        self.loop.stop()
        self.thread.join(PATIENCE_S)


@pytest.fixture
def nodes():
    """Return two nodes; the first is connected to the second."""
    first, second = Node(), Node()
    first.connect(second)
    yield first, second
    first.stop()
    second.stop()


def test_questions_are_answered_each_by_its_own(nodes):
    """Guards against answers that reach another question."""
    first, second = nodes
    address = second.calls.address
    outcomes = [first.ask(address, b"%d" % n) for n in range(200)]
    for number, outcome in enumerate(outcomes):
        assert outcome.result(PATIENCE_S) == b"to %d" % number


def test_a_question_to_an_unknown_peer_was_not_sent(nodes):
    """Guards against an unknown outcome where nothing was sent."""
    first, _ = nodes
    with pytest.raises(CallNotSentError):
        first.ask("127.0.0.1:9", b"x").result(PATIENCE_S)


def test_a_question_without_an_answer_may_have_been_read(nodes):
    """Guards against a certain refusal after a question that was sent."""
    first, second = nodes
    outcome = first.ask(second.calls.address, b"hold", 0.2)
    with pytest.raises(CallUnansweredError):
        outcome.result(PATIENCE_S)
    assert second.asked.is_set()


def test_a_connection_that_brings_no_answers_is_replaced(nodes):
    """Guards against a connection that went silent and stays in use."""
    first, second = nodes
    address = second.calls.address
    before = first.call(lambda: first.calls.connections[address])
    for _ in range(2):
        assert first.ask(address, b"hold", 0.1).exception(PATIENCE_S)
    after = first.call(lambda: first.calls.connections[address])
    assert after is not before
    first.connect(second)
