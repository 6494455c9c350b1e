"""Hands the lead over while the store serves other entries only.

The store may reject the leader's calls and serve the others. Its lease then
expires, and the others elect a leader after that. It need not take so long:
a peer that the store serves can end the lease. The leader ends its term
before it asks for that, so that there is never another one beside it.
"""

from collections.abc import Callable
from concurrent.futures import Future

from cyclamenscale.jobs.election import Election
from cyclamenscale.jobs.relay import PROBE_KIND, Relay
from cyclamenscale.util.loop import Loop

#: Time without a successful renewal of the lease after which a peer is
#: asked. A single lost response is repeated before that.
FAILING_S = 0.45

#: Time after an election in which the lead is not handed over.
SETTLING_TIME_S = 3.0

#: Share of the time in use from which the event loop is overloaded. Its calls
#: time out then whether the store serves it or not, and the next leader would
#: fare alike.
OVERLOADED_SHARE = 0.8


class LeadHandover:
    """Watches the renewals of the lease and ends the term if peers can.

    :param loop: clock.
    :param election: holds the lease.
    :param relay: sends requests to the peers.
    :param last_store_response_s: returns when the store last responded to
        another call of this entry.
    :ivar busy_share: share of the time that the event loop has lately been
        in use.
    """

    def __init__(
        self,
        loop: Loop,
        election: Election,
        relay: Relay,
        last_store_response_s: Callable[[], float],
    ):
        """Initialise with no request sent."""
        self.loop = loop
        self.election = election
        self.relay = relay
        self.last_store_response_s = last_store_response_s
        self.busy_share = 0.0
        self.probing = False

    def run(self) -> None:
        """Ask a peer whether the store serves it, if that is due.

        Called several times a second.
        """
        term = self.election.term
        if (
            term is None
            or self.probing
            or not self.is_failing()
            or not self.relay.available(PROBE_KIND)
        ):
            return
        self.probing = True

        def handle_probe(done: Future) -> None:
            self.probing = False
            if done.result() and self.election.term == term:
                if self.is_failing():
                    self.hand_over()

        self.relay.probe().add_done_callback(handle_probe)

    def is_failing(self) -> bool:
        """Return whether the store has rejected this entry for some time.

        Failures of an overloaded process don't count, nor those of a leader
        that has just taken over, whose calls wait for each other.
        """
        term = self.election.term
        since_s = self.election.renewal_failing_since_s
        if not term or not since_s or self.busy_share >= OVERLOADED_SHARE:
            return False
        latest_s = max(
            since_s,
            self.last_store_response_s(),
            term.began_s + SETTLING_TIME_S - FAILING_S,
        )
        return self.loop.clock() - latest_s >= FAILING_S

    def hand_over(self) -> None:
        """End the term, then have a peer end the lease."""
        lease = self.election.lease.id
        self.election.resign("the store serves other entries only")
        self.relay.end_lease(lease)
