"""Brings the configuration of entries together over the peer link.

Acknowledges changes, sends and applies deltas, and, where the change log
does not reach back far enough, compares digests of key buckets and fetches
those that differ. All methods are called in the link's thread.
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

PENDING_LIMIT = 1024

#: A change normally arrives by the watch within milliseconds; only after
#: this is it asked for from the peer, and again at this interval.
ASK_AFTER_S = 0.2

#: A repair that takes longer has lost a bucket and is begun again.
REPAIR_WITHIN_S = 2.0


class Repair(NamedTuple):
    """A comparison of digests that waits for buckets.

    :ivar sender: peer that the buckets come from.
    :ivar upto: revision of its digests.
    :ivar wanted: numbers of the buckets that differ.
    :ivar contents: revision and items of those that have come.
    :ivar began_s: when the buckets were asked for.
    """

    sender: str
    upto: int
    wanted: frozenset[int]
    contents: dict[int, tuple[int, list[ConfigChange]]]
    began_s: float


class ConfigSync:
    """Handles the messages about the configuration on a link.

    :param settings: the whole settings.
    :param metrics: counters.
    :param clock: monotonic seconds.
    :param table: this entry's configuration.
    :param freshness: tells whether this entry is recovering.
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
        """Register the handlers."""
        self.name = settings.entry.name
        self.settings = settings
        self.metrics = metrics
        self.clock = clock
        self.table = table
        self.freshness = freshness
        self.link = link
        self.pending: dict[ChangeNotice, float] = {}
        self.asked_s: dict[str, float] = {}
        self.repair: Repair | None = None
        for kind, handler in (
            (ChangeNotice, self.take_notice),
            (DeltaRequest, self.answer_delta),
            (Delta, self.take_delta),
            (DigestRequest, self.answer_digest),
            (Digest, self.take_digest),
            (BucketRequest, self.answer_buckets),
            (Bucket, self.take_bucket),
        ):
            link.on(kind, handler)

    def take_notice(self, notice: ChangeNotice) -> None:
        """Acknowledge a revision now or once it is covered."""
        if len(self.pending) >= PENDING_LIMIT:
            self.metrics.incr("sync.notices_dropped")
            return
        self.pending.setdefault(notice, self.clock())
        self.tick()

    def tick(self) -> None:
        """Acknowledge what is covered by now, ask for what is late."""
        if not self.pending:
            return
        now_s = self.clock()
        recovering = self.freshness.recovering
        for notice, came_s in list(self.pending.items()):
            sender, revision, number = notice
            if not recovering and self.table.acknowledge(revision):
                del self.pending[notice]
                ack = ChangeAck(self.name, revision, number)
                self.link.send(sender, ack)
            elif now_s - came_s > self.settings.freshness.accept_within_s:
                del self.pending[notice]
                self.metrics.incr("sync.notices_expired")
            elif now_s - came_s > ASK_AFTER_S:
                self.catch_up(sender, revision)

    def catch_up(self, sender: str, revision: int) -> None:
        """Ask a peer for changes if it has a revision this entry lacks."""
        now_s = self.clock()
        if revision <= self.table.covered:
            return
        if now_s - self.asked_s.get(sender, now_s - 1) < ASK_AFTER_S:
            return
        if len(self.asked_s) > PENDING_LIMIT:
            self.asked_s.clear()
        self.asked_s[sender] = now_s
        self.link.send(sender, DeltaRequest(self.name, self.table.covered))

    def answer_delta(self, request: DeltaRequest) -> None:
        """Send the changes above a revision, as far as they fit."""
        complete, upto, changes = self.table.changes_after(
            request.after, self.settings.peers.frame_limit_bytes // 2
        )
        self.metrics.incr("sync.deltas_sent")
        self.link.send(
            request.sender,
            Delta(self.name, request.after, upto, complete, changes),
        )

    def take_delta(self, delta: Delta) -> None:
        """Apply a delta, or compare digests if the log is too short."""
        if not delta.complete:
            if not self.repairing():
                self.link.send(delta.sender, DigestRequest(self.name))
            return
        applied = self.table.apply(delta.changes, delta.upto, delta.after)
        self.metrics.incr("sync.changes_applied", applied.changed)
        if applied.changed:
            # A long delta comes in parts; the last one is empty.
            after = self.table.covered
            self.link.send(delta.sender, DeltaRequest(self.name, after))
        self.tick()

    def repairing(self) -> bool:
        """Return whether a repair waits for buckets."""
        if self.repair is None:
            return False
        return self.clock() - self.repair.began_s < REPAIR_WITHIN_S

    def answer_digest(self, request: DigestRequest) -> None:
        """Send the digests of all buckets."""
        revision, buckets = self.table.digests()
        self.link.send(request.sender, Digest(self.name, revision, buckets))

    def take_digest(self, digest: Digest) -> None:
        """Fetch the buckets that differ from a peer that is ahead."""
        covered, own = self.table.digests()
        if digest.revision <= covered or len(digest.buckets) != BUCKET_COUNT:
            return
        pairs = zip(digest.buckets, own, strict=True)
        wanted = [
            number
            for number, (theirs, ours) in enumerate(pairs)
            if theirs != ours
        ]
        self.metrics.incr("sync.repairs")
        self.repair = Repair(
            digest.sender,
            digest.revision,
            frozenset(wanted),
            {},
            self.clock(),
        )
        if wanted:
            request = BucketRequest(self.name, wanted)
            self.link.send(digest.sender, request)
        else:
            self.finish_repair(self.repair)

    def answer_buckets(self, request: BucketRequest) -> None:
        """Send the content of buckets, one message each."""
        for number in dict.fromkeys(request.buckets):
            if 0 <= number < BUCKET_COUNT:
                revision, items = self.table.bucket_items(number)
                self.link.send(
                    request.sender,
                    Bucket(self.name, number, revision, items),
                )

    def take_bucket(self, bucket: Bucket) -> None:
        """Gather buckets; apply them all at once when the last one comes."""
        repair = self.repair
        if (
            repair is None
            or bucket.sender != repair.sender
            or bucket.number not in repair.wanted
            # The sender was restarted since it sent its digests.
            or bucket.revision < repair.upto
        ):
            self.metrics.incr("sync.buckets_dropped")
            return
        repair.contents[bucket.number] = (bucket.revision, bucket.items)
        if len(repair.contents) == len(repair.wanted):
            self.finish_repair(repair)

    def finish_repair(self, repair: Repair) -> None:
        """Apply the buckets of a repair."""
        self.repair = None
        applied = self.table.repair(repair.contents, repair.upto)
        self.metrics.incr("sync.changes_applied", applied.changed)
        self.tick()
