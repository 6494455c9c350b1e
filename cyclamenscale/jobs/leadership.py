"""Local state of the leader's lease in the store.

Pure: the election makes the calls and records their results here. The store
counts a lease from the arrival of the call that renews it, so it is
confirmed for its duration from the time just before that call was sent.
"""

from cyclamenscale.util.clock import Clock

#: Share of the lease that is not relied on, since clocks differ in rate.
SAFETY_MARGIN_SHARE = 0.1


class Lease:
    """A lease of the store, with the time until which it is confirmed.

    :param clock: clock in seconds that keeps running during a suspension.
    """

    def __init__(self, clock: Clock):
        """Initialise with no lease."""
        self.clock = clock
        self.id = 0
        self.ttl_s = 0.0
        self.confirmed_until_s = -1e9

    def record_grant(self, lease: int, ttl_s: float, sent_s: float) -> None:
        """Record a granted lease.

        :param sent_s: when the call was sent.
        """
        self.id = lease
        self.ttl_s = ttl_s
        self.confirmed_until_s = sent_s + ttl_s * (1 - SAFETY_MARGIN_SHARE)

    def record_renewal(self, sent_s: float) -> None:
        """Record a successful renewal.

        :param sent_s: when the call was sent.
        """
        until_s = sent_s + self.ttl_s * (1 - SAFETY_MARGIN_SHARE)
        self.confirmed_until_s = max(self.confirmed_until_s, until_s)

    def record_loss(self) -> None:
        """Record that the lease has ended."""
        self.id = 0
        self.confirmed_until_s = -1e9

    def is_confirmed(self, slack_s: float = 0.0) -> bool:
        """Return whether the lease is certainly valid.

        :param slack_s: how long the confirmation may have expired.
        """
        return (
            bool(self.id) and self.clock() < self.confirmed_until_s + slack_s
        )
