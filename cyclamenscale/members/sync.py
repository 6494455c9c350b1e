"""Synchronises the configuration between entries over the peer link.

Acknowledges changes, and sends and applies deltas. If the change log of a
peer does not reach back far enough, compares digests of key buckets and
fetches the buckets that differ. All methods are called in the link's thread.
"""

from typing import NamedTuple

from cyclamenscale.configuration.table import BUCKET_COUNT, ConfigTable
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.messages import (
    Bucket,
    BucketRequest,
    ChangeAck,
    ChangeNotice,
    ConfigChange,
    Delta,
    DeltaRequest,
    Digest,
    DigestRequest,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Limit of pending notices, and of peers with a recorded request time.
MAX_PENDING = 1024

#: A change normally arrives through the watch within milliseconds. It is
#: requested from the peer only after this time, and again at this interval.
REQUEST_DELAY_S = 0.2

#: A repair that takes longer has lost a bucket and is started again.
REPAIR_TIMEOUT_S = 2.0


class Repair(NamedTuple):
    """Repair of the configuration by the buckets that differ from a peer's.

    :ivar sender: peer that sends the buckets.
    :ivar upto: revision of the peer's digests.
    :ivar bucket_numbers: numbers of the buckets that differ.
    :ivar received: revision and items of the received buckets, by number.
    :ivar started_s: when the buckets were requested.
    """

    sender: str
    upto: int
    bucket_numbers: frozenset[int]
    received: dict[int, tuple[int, list[ConfigChange]]]
    started_s: float


class ConfigSync:
    """Handles messages about the configuration on a peer link.

    :param settings: settings of the entry.
    :param metrics: counters.
    :param clock: returns monotonic seconds.
    :param table: configuration of this entry.
    :param freshness: reports whether this entry is recovering.
    :param link: the :class:`cyclamenscale.members.peers.PeerLink`.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        clock: Clock,
        table: ConfigTable,
        freshness: Freshness,
        link,
    ):
        """Register the message handlers."""
        self.name = settings.entry.name
        self.settings = settings
        self.metrics = metrics
        self.clock = clock
        self.table = table
        self.freshness = freshness
        self.link = link
        self.pending_notices: dict[ChangeNotice, float] = {}
        self.last_requested_s: dict[str, float] = {}
        self.repair: Repair | None = None
        for kind, handler in (
            (ChangeNotice, self.handle_notice),
            (DeltaRequest, self.handle_delta_request),
            (Delta, self.handle_delta),
            (DigestRequest, self.handle_digest_request),
            (Digest, self.handle_digest),
            (BucketRequest, self.handle_bucket_request),
            (Bucket, self.handle_bucket),
        ):
            link.on(kind, handler)

    def handle_notice(self, notice: ChangeNotice) -> None:
        """Acknowledge a revision now, or later once it is covered."""
        if len(self.pending_notices) >= MAX_PENDING:
            self.metrics.incr("sync.notices_dropped")
            return
        self.pending_notices.setdefault(notice, self.clock())
        self.process_pending()

    def process_pending(self) -> None:
        """Acknowledge covered revisions and request overdue ones."""
        if not self.pending_notices:
            return
        now_s = self.clock()
        recovering = self.freshness.recovering
        for notice, received_s in list(self.pending_notices.items()):
            sender, revision, number = notice
            if not recovering and self.table.acknowledge(revision):
                del self.pending_notices[notice]
                ack = ChangeAck(self.name, revision, number)
                self.link.send(sender, ack)
            elif now_s - received_s > self.settings.freshness.accept_within_s:
                del self.pending_notices[notice]
                self.metrics.incr("sync.notices_expired")
            elif now_s - received_s > REQUEST_DELAY_S:
                self.request_delta(sender, revision)

    def request_delta(self, sender: str, revision: int) -> None:
        """Request changes from a peer that has a newer revision."""
        now_s = self.clock()
        if revision <= self.table.covered:
            return
        if (
            now_s - self.last_requested_s.get(sender, now_s - 1)
            < REQUEST_DELAY_S
        ):
            return
        if len(self.last_requested_s) > MAX_PENDING:
            self.last_requested_s.clear()
        self.last_requested_s[sender] = now_s
        self.link.send(sender, DeltaRequest(self.name, self.table.covered))

    def handle_delta_request(self, request: DeltaRequest) -> None:
        """Send the changes after a revision, up to the size limit."""
        complete, upto, changes = self.table.changes_after(
            request.after, self.settings.peers.frame_limit_bytes // 2
        )
        self.metrics.incr("sync.deltas_sent")
        self.link.send(
            request.sender,
            Delta(self.name, request.after, upto, complete, changes),
        )

    def handle_delta(self, delta: Delta) -> None:
        """Apply a delta, or request digests if it is incomplete.

        It is incomplete if the sender's change log does not reach back far
        enough.
        """
        if not delta.complete:
            if not self.repair_in_progress():
                self.link.send(delta.sender, DigestRequest(self.name))
            return
        applied = self.table.apply(delta.changes, delta.upto, delta.after)
        self.metrics.incr("sync.changes_applied", applied.changed)
        if applied.changed:
            # A long delta is sent in parts; the last part is empty.
            after = self.table.covered
            self.link.send(delta.sender, DeltaRequest(self.name, after))
        self.process_pending()

    def repair_in_progress(self) -> bool:
        """Return whether a repair waits for buckets and has not timed out."""
        if self.repair is None:
            return False
        return self.clock() - self.repair.started_s < REPAIR_TIMEOUT_S

    def handle_digest_request(self, request: DigestRequest) -> None:
        """Send the digests of all buckets."""
        revision, buckets = self.table.digests()
        self.link.send(request.sender, Digest(self.name, revision, buckets))

    def handle_digest(self, digest: Digest) -> None:
        """Request the differing buckets from a peer with a newer revision."""
        covered, own = self.table.digests()
        if digest.revision <= covered or len(digest.buckets) != BUCKET_COUNT:
            return
        pairs = zip(digest.buckets, own, strict=True)
        bucket_numbers = [
            number
            for number, (theirs, ours) in enumerate(pairs)
            if theirs != ours
        ]
        self.metrics.incr("sync.repairs")
        self.repair = Repair(
            digest.sender,
            digest.revision,
            frozenset(bucket_numbers),
            {},
            self.clock(),
        )
        if bucket_numbers:
            request = BucketRequest(self.name, bucket_numbers)
            self.link.send(digest.sender, request)
        else:
            self.finish_repair(self.repair)

    def handle_bucket_request(self, request: BucketRequest) -> None:
        """Send the content of the requested buckets, one message each."""
        for number in dict.fromkeys(request.buckets):
            if 0 <= number < BUCKET_COUNT:
                revision, items = self.table.bucket_items(number)
                self.link.send(
                    request.sender,
                    Bucket(self.name, number, revision, items),
                )

    def handle_bucket(self, bucket: Bucket) -> None:
        """Collect buckets and apply them together once all have arrived."""
        repair = self.repair
        if (
            repair is None
            or bucket.sender != repair.sender
            or bucket.number not in repair.bucket_numbers
            # The sender has been restarted since it sent its digests.
            or bucket.revision < repair.upto
        ):
            self.metrics.incr("sync.buckets_dropped")
            return
        repair.received[bucket.number] = (bucket.revision, bucket.items)
        if len(repair.received) == len(repair.bucket_numbers):
            self.finish_repair(repair)

    def finish_repair(self, repair: Repair) -> None:
        """Apply the collected buckets of a repair."""
        self.repair = None
        applied = self.table.repair(repair.received, repair.upto)
        self.metrics.incr("sync.changes_applied", applied.changed)
        self.process_pending()
