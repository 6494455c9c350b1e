"""A job entry: takes callers' jobs, and coordinates while it leads.

All state belongs to the event loop's thread; the threads of the HTTP
servers hand their calls in with :meth:`Loop.submit`.
"""

import time
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from typing import NamedTuple

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.acceptance import Acceptance
from cyclamenscale.jobs.board import Board
from cyclamenscale.jobs.coordinator import TICK_S, Coordinator, Ports
from cyclamenscale.jobs.election import Election
from cyclamenscale.jobs.feeds import Feed
from cyclamenscale.jobs.keys import PREFIX, job_key
from cyclamenscale.jobs.ledger import REMOVED_PER_TXN
from cyclamenscale.jobs.model import (
    FINAL_STATES,
    EntryRecord,
    MaintenanceWave,
    Manifest,
    ProgressRecord,
    WorkerRecord,
)
from cyclamenscale.jobs.presence import Presence
from cyclamenscale.jobs.registry import Registry
from cyclamenscale.jobs.relay import Answerer, Relay
from cyclamenscale.jobs.state import State, Term
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop
from cyclamenscale.util.peer_calls import PeerCalls
from cyclamenscale.util.rendezvous import choose_some

#: Time between looks at what has a time.
RUN_S = 0.1

#: A follower gathers changes for this long after an event.
FOLLOW_PAUSE_S = 0.1

#: Without an answer of the store for this long an entry is not ready.
STORE_SILENCE_S = 2.5

#: A watch that has not answered for this long over its own time is behind.
WATCH_SLACK_S = 0.4

#: Peers that an entry connects to; with three of five turned away, one in
#: sixty entries has no peer that the store serves.
PEERS_CONNECTED = 8

#: Time between removals of ended jobs.
REMOVE_S = 2.0


class Decoders(NamedTuple):
    """How the operators' and workers' keys are read.

    :ivar operator_prefix: keys that operators write.
    :ivar manifest_key: key of the manifest.
    :ivar wave_prefix: keys of requested waves.
    :ivar worker_prefix: keys of the workers' registrations.
    :ivar manifest: decodes a manifest.
    :ivar wave: decodes a wave.
    :ivar worker: decodes a registration, given the worker's id.
    """

    operator_prefix: str
    manifest_key: str
    wave_prefix: str
    worker_prefix: str
    manifest: Callable[[bytes], Manifest]
    wave: Callable[[bytes], MaintenanceWave]
    worker: Callable[[str, bytes], WorkerRecord]


class JobEntry:
    """The parts of one process, wired together.

    :param settings: the whole settings.
    :param loop: its event loop.
    :param ports: store, workers and machines.
    :param decoders: how foreign keys are read.
    :param rng: source of jitter.
    :param links: questions to and from the other entries.
    :ivar answerer: answers the peers' questions; set before the start.
    """

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        ports: Ports,
        decoders: Decoders,
        events: EventLog,
        metrics: Metrics,
        rng: Random,
        links: PeerCalls,
    ):
        """Make the parts; :meth:`start` begins."""
        self.settings = settings
        self.loop = loop
        self.ports = ports
        self.decoders = decoders
        self.events = events
        self.metrics = metrics
        self.board = Board()
        self.manifest: Manifest | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self.draining = False
        self.coordinator: Coordinator | None = None
        self.registry: Registry | None = None
        self.turn_planned = False
        self.remove_due_s = 0.0
        self.links = links
        self.answerer: Answerer | None = None
        self.presence: Presence | None = None
        self.relay = Relay(loop, links, events, rng)
        self.acceptance = Acceptance(
            loop, ports.store, events, self.relay, self.store_answered_s
        )
        self.election = Election(
            settings,
            loop,
            ports.store,
            self.board,
            events,
            rng,
            self.begin_term,
            self.end_term,
        )
        wait_ms = settings.jobs.watch_ms
        self.job_feed = Feed(
            loop,
            ports.store,
            events,
            PREFIX,
            self.replace_jobs,
            self.apply_jobs,
            wait_ms,
            FOLLOW_PAUSE_S,
        )
        self.operator_feed = Feed(
            loop,
            ports.store,
            events,
            decoders.operator_prefix,
            self.apply_operator,
            self.apply_operator,
            wait_ms,
        )

    def start(self) -> None:
        """Begin to follow the store; the loop's thread only."""
        self.events.note("entry.start", settings=self.settings.entry._asdict())
        if self.answerer:
            self.links.start(self.answerer.take)
            self.register()
        self.job_feed.start()
        self.operator_feed.start()
        self.run()

    def register(self) -> None:
        """Tell the other entries where this one answers."""
        entry = self.settings.entry
        self.presence = Presence(
            self.loop,
            self.ports.store,
            self.events,
            entry.name,
            EntryRecord(self.links.address, entry.data_centre),
        )
        self.presence.start()

    def run(self) -> None:
        """Do what has a time, again and again."""
        self.loop.call_later(RUN_S, self.run)
        self.election.willing = (
            self.board.filled
            and self.manifest is not None
            and not self.draining
        )
        self.election.run()
        self.remove_ended()

    # The store's keys.

    def replace_jobs(self, items: list[KeyValue], revision: int) -> None:
        """Take a full reading of the jobs over."""
        self.read_board(items, revision)
        self.follow_peers()
        self.feed_coordinator(items)
        self.check_leader()

    def follow_peers(self) -> None:
        """Connect to some of the entries that are on the board."""
        own = self.settings.entry.name
        entries = self.board.entries
        others = [name for name in entries if name != own]
        peers = {
            name: entries[name].address
            for name in choose_some(own, others, PEERS_CONNECTED)
        }
        if peers != self.relay.peers:
            self.events.note("peers.changed", peers=sorted(peers))
            self.relay.set_peers(peers)
            self.links.connect(set(peers.values()))

    def read_board(self, items: list[KeyValue], revision: int) -> None:
        """Put a full reading on the board."""
        for fault in self.board.replace(items, revision, self.loop.clock()):
            self.events.note("board.unreadable", reason=fault)

    def apply_jobs(self, items: list[KeyValue], revision: int) -> None:
        """Take changes of the jobs over."""
        now_s = self.loop.clock()
        for item in items:
            try:
                self.board.apply(item, now_s)
            except FieldError as error:
                self.events.note("board.unreadable", reason=str(error))
        self.board.revision = max(self.board.revision, revision)
        self.follow_peers()
        self.feed_coordinator(items)
        self.check_leader()

    def check_leader(self) -> None:
        """Step down if another entry leads; compete if none does."""
        leader, term = self.board.leader, self.election.term
        if term and leader and leader.fence > term.fence:
            self.election.resign(f"{leader.node} leads")
        elif term and leader is None:
            self.election.resign("the leader's key is gone")
        elif leader is None:
            self.election.run()

    def feed_coordinator(self, items: list[KeyValue]) -> None:
        """Tell the coordinator of new and cancelled jobs."""
        if not self.coordinator:
            return
        for item in items:
            job = item.key.rpartition("/")[2]
            posting = self.board.postings.get(job)
            if not posting or not posting.record:
                continue
            if item.key == job_key(job) and posting.state not in FINAL_STATES:
                self.coordinator.add_job(posting.record, posting.revision)
            if posting.cancelled:
                self.coordinator.cancel_job(job)
        self.plan_turn()

    def apply_operator(self, items: list[KeyValue], revision: int) -> None:
        """Take what the operators have written over."""
        for item in items:
            try:
                if item.key == self.decoders.manifest_key and item.value:
                    self.set_manifest(self.decoders.manifest(item.value))
                elif item.key.startswith(self.decoders.wave_prefix):
                    if item.value:
                        self.set_wave(self.decoders.wave(item.value))
            except FieldError as error:
                self.events.note(
                    "operator.unreadable", key=item.key, reason=str(error)
                )

    def set_manifest(self, manifest: Manifest) -> None:
        """Apply a manifest unless a newer one is in force."""
        if self.manifest and manifest.version <= self.manifest.version:
            return
        self.manifest = manifest
        self.events.note(
            "manifest.applied",
            version=manifest.version,
            queues=len(manifest.queues),
            pools=len(manifest.pools),
        )
        if self.coordinator:
            self.coordinator.set_manifest(manifest)
            self.plan_turn()

    def set_wave(self, wave: MaintenanceWave) -> None:
        """Take a requested wave on."""
        if wave.number in self.waves:
            return
        self.waves[wave.number] = wave
        if self.coordinator:
            self.coordinator.machines.waves.set_wave(wave)

    # Terms.

    def begin_term(self, term: Term) -> None:
        """Read all jobs as of the term's beginning, then coordinate."""

        def read(done: Future) -> None:
            if self.election.term != term:
                return
            if done.exception():
                self.election.resign(f"no reading: {done.exception()}")
                return
            self.read_board(done.result().items, done.result().revision)
            self.coordinate(term)

        self.ports.store.read_range(PREFIX).add_done_callback(read)

    def coordinate(self, term: Term) -> None:
        """Make the coordinator of a term and feed it."""
        state = State(
            self.settings,
            term,
            self.manifest,
            self.loop.clock,
            time.time,
            self.election.lease.is_proved,
            self.events,
            self.metrics,
        )
        coordinator = Coordinator(state, self.ports, self.note_progress)
        self.coordinator = coordinator
        restore(coordinator, self.board)
        coordinator.machines.handover.restore(self.board.fleet)
        for wave in self.waves.values():
            record = self.board.waves.get(wave.number)
            coordinator.machines.waves.set_wave(wave, record)
        self.registry = Registry(
            self.loop,
            self.ports.store,
            self.events,
            self.decoders.worker_prefix,
            self.decoders.worker,
            self.settings.jobs.watch_ms,
            coordinator,
            self.plan_turn,
        )
        self.events.note("term.begin", fence=term.fence, jobs=len(state.jobs))
        self.tick(coordinator)

    def note_progress(
        self, job: str, record: ProgressRecord, revision: int
    ) -> None:
        """Put stored progress on the board before the watch brings it."""
        self.board.note_progress(job, record, revision, self.loop.clock())

    def end_term(self, why: str) -> None:
        """Stop coordinating; another entry takes over."""
        if self.registry:
            self.registry.stop()
            self.registry = None
        self.coordinator = None

    def tick(self, coordinator: Coordinator) -> None:
        """Let a coordinator decide, again and again."""
        if self.coordinator is not coordinator:
            return
        self.loop.call_later(TICK_S, lambda: self.tick(coordinator))
        self.turn()

    def plan_turn(self) -> None:
        """Let the coordinator decide after the events of this turn."""
        if not self.turn_planned:
            self.turn_planned = True
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        """Let the coordinator decide now."""
        self.turn_planned = False
        coordinator = self.coordinator
        if not coordinator:
            return
        coordinator.turn()
        if coordinator.state.deposed:
            self.election.resign(coordinator.state.deposed)

    def remove_ended(self) -> None:
        """Remove jobs from the store that ended long ago."""
        now_s = self.loop.clock()
        if not self.coordinator or now_s < self.remove_due_s:
            return
        self.remove_due_s = now_s + REMOVE_S
        before_s = now_s - self.settings.jobs.retention_s
        jobs = self.board.over(before_s, REMOVED_PER_TXN)
        if jobs:
            removed = self.coordinator.ledger.remove(jobs)
            removed.add_done_callback(self.note_removal)

    def note_removal(self, done: Future) -> None:
        """Log a removal that failed; the next one takes the same jobs."""
        if done.exception():
            self.events.note(
                "board.removal_failed", reason=str(done.exception())
            )

    def store_answered_s(self) -> float:
        """Return when the store last answered a watch."""
        return max(self.job_feed.answered_s, self.operator_feed.answered_s)

    def is_ready(self) -> bool:
        """Return whether new callers should be sent here."""
        silent_s = self.loop.clock() - self.store_answered_s()
        fresh = silent_s < STORE_SILENCE_S
        return bool(
            self.manifest and self.board.filled and not self.draining and fresh
        )

    def is_behind(self) -> bool:
        """Return whether the jobs are not followed at present."""
        age_s = self.loop.clock() - self.job_feed.answered_s
        limit_s = self.settings.jobs.watch_ms / 1000 + WATCH_SLACK_S
        return bool(self.job_feed.failures) or age_s > limit_s

    def drain(self) -> None:
        """Send callers elsewhere and hand the term over."""
        self.draining = True
        if self.presence:
            self.presence.stop()
        self.events.note("entry.drain")
        if self.election.term:
            self.election.resign("the entry stops")
        elif self.election.lease.id:
            self.election.resign("the entry stops")


def restore(coordinator: Coordinator, board: Board) -> None:
    """Give a coordinator all jobs that are not over."""
    for job, posting in board.postings.items():
        if not posting.record or posting.progress.state in FINAL_STATES:
            continue
        coordinator.add_job(posting.record, posting.revision, True)
        if posting.progress_revision:
            coordinator.restore_progress(
                job, posting.progress, posting.progress_revision
            )
        if posting.cancelled:
            coordinator.cancel_job(job)
