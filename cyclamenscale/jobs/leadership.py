"""Who coordinates: the holder of one key under a lease of the store.

Pure: the entry carries the calls out and tells their outcome. A lease runs
from the arrival of the call that renews it, so it is proved for its time
from before that call was sent.
"""

from cyclamenscale.util.clock import Clock

#: Part of the lease that is not relied on, for clocks that differ in rate.
SAFETY_MARGIN_SHARE = 0.1


class Lease:
    """A lease of the store and until when it is proved.

    :param clock: seconds that go on during a suspension.
    """

    def __init__(self, clock: Clock):
        """Start without a lease."""
        self.clock = clock
        self.id = 0
        self.ttl_s = 0.0
        self.confirmed_until_s = -1e9

    def record_grant(self, lease: int, ttl_s: float, sent_s: float) -> None:
        """Note a lease that was granted."""
        self.id = lease
        self.ttl_s = ttl_s
        self.confirmed_until_s = sent_s + ttl_s * (1 - SAFETY_MARGIN_SHARE)

    def record_renewal(self, sent_s: float) -> None:
        """Note a renewal that was answered.

        :param sent_s: when it was sent.
        """
        until_s = sent_s + self.ttl_s * (1 - SAFETY_MARGIN_SHARE)
        self.confirmed_until_s = max(self.confirmed_until_s, until_s)

    def record_loss(self) -> None:
        """Note that the store no longer has it."""
        self.id = 0
        self.confirmed_until_s = -1e9

    def is_confirmed(self, slack_s: float = 0.0) -> bool:
        """Return whether the lease surely holds now.

        :param slack_s: time for which it may not have held any more.
        """
        return (
            bool(self.id) and self.clock() < self.confirmed_until_s + slack_s
        )
