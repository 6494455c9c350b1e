"""Sends accepted jobs and cancellations to the leader.

The leader learns of them from its watch of the store too. But a watch may
deliver nothing for seconds, for example while the store drops its history,
and the workers would be idle meanwhile. A notice is sent only after the
record is stored, so it tells nothing that the watch would not; a lost one
costs only time.
"""

from collections.abc import Callable
from concurrent.futures import Future

from cyclamenscale.jobs.relay import RecordNotice, Transport
from cyclamenscale.members.messages import encode_frame
from cyclamenscale.metrics import Metrics

#: Time until a notice counts as lost, and its connection as suspect.
NOTICE_TIMEOUT_S = 0.5


class LeaderNotices:
    """Sends each record that this entry has created to the leader.

    :param transport: connections to the peers.
    :param leader_address: returns the leader's address, or an empty string
        if there is none or this entry leads.
    """

    def __init__(
        self,
        transport: Transport,
        metrics: Metrics,
        leader_address: Callable[[], str],
    ):
        """Initialise with nothing sent."""
        self.transport = transport
        self.metrics = metrics
        self.leader_address = leader_address

    def send(self, key: str, value: bytes, revision: int) -> None:
        """Send a record.

        :param revision: revision of its creation.
        """
        address = self.leader_address()
        if not address:
            return
        frame = encode_frame(RecordNotice(key, value, revision))
        self.metrics.incr("jobs.notices")
        call = self.transport.request(address, frame, NOTICE_TIMEOUT_S)
        call.add_done_callback(self.count_failure)

    def count_failure(self, done: Future) -> None:
        """Count a notice that the leader has not received."""
        if done.exception():
            self.metrics.incr("jobs.notices_failed")
