"""A job entry: accepts callers' jobs and runs the coordinator as leader.

All state belongs to the event loop's thread; the threads of the HTTP
servers pass their calls to it with :meth:`Loop.submit`.
"""

import time
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from typing import NamedTuple

from cyclamenscale.errors import FieldError, NotAcceptedNowError
from cyclamenscale.jobs.acceptance import Acceptance
from cyclamenscale.jobs.coordinator import TICK_S, Coordinator, Ports
from cyclamenscale.jobs.election import Election
from cyclamenscale.jobs.handover import LeadHandover
from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.keys import LEADER, PREFIX, job_key
from cyclamenscale.jobs.ledger import REMOVED_PER_TXN
from cyclamenscale.jobs.model import (
    FINAL_STATES,
    EntryRecord,
    MaintenanceWave,
    Manifest,
    ProgressRecord,
    WorkerRecord,
)
from cyclamenscale.jobs.notices import LeaderNotices
from cyclamenscale.jobs.precedence import capacity_of
from cyclamenscale.jobs.presence import Presence
from cyclamenscale.jobs.queue_history import QueueHistory
from cyclamenscale.jobs.registry import WorkerRegistry
from cyclamenscale.jobs.relay import Relay, Responder
from cyclamenscale.jobs.state import State, Term
from cyclamenscale.jobs.watches import PrefixWatch, RevisionLag
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.http_client import HttpLoad
from cyclamenscale.util.loop import Loop
from cyclamenscale.util.machine_speed import MachineSpeed
from cyclamenscale.util.peer_calls import PeerCalls
from cyclamenscale.util.rendezvous import choose_nodes

#: Interval of periodic work.
PERIOD_S = 0.1

#: Time for which changes of jobs are batched after a watch event.
WATCH_BATCH_DELAY_S = 0.1

#: Interval of the log line about the leader's load.
LOAD_INTERVAL_S = 1.0

#: An entry without a response from the store for this long is not ready.
MAX_STORE_SILENCE_S = 2.5

#: A watch is behind if its response is overdue by more than this.
WATCH_SLACK_S = 0.4

#: While jobs are open, changes usually follow each other faster than this.
QUIET_WATCH_S = 0.5

#: Interval of full reads by a leader whose watch is behind.
REREAD_INTERVAL_S = 1.0

#: Peers that an entry connects to. If the store rejects three of five
#: entries, one entry in sixty has no peer that the store serves.
MAX_CONNECTED_PEERS = 8

#: Interval at which an entry checks the speed of its machine.
SPEED_CHECK_INTERVAL_S = 0.25

#: Interval between removals of ended jobs, and between two of them while more
#: are due. A leader then removes 100 jobs a second at most, with a small part
#: of the writes that the store allows.
REMOVAL_INTERVAL_S = 2.0
QUICK_REMOVAL_INTERVAL_S = 0.1


class Decoders(NamedTuple):
    """Keys and decoders of the records of operators and workers.

    :ivar operator_prefix: prefix of the keys that operators write.
    :ivar manifest_key: key of the manifest.
    :ivar wave_prefix: prefix of requested maintenance waves.
    :ivar worker_prefix: prefix of the workers' registrations.
    :ivar manifest: decodes a manifest.
    :ivar wave: decodes a maintenance wave.
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
    """The components of one process and their connections.

    :param settings: settings of all sections.
    :param loop: event loop that runs all components.
    :param ports: store, workers and machines.
    :param decoders: decoders of the records of operators and workers.
    :param rng: random source for jitter.
    :param peer_calls: requests to and from the other entries.
    :ivar responder: serves requests of peers; set before :meth:`start`.
    :ivar take_http_load: returns the load of the HTTP client since the last
        call; set before :meth:`start`.
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
        peer_calls: PeerCalls,
    ):
        """Create the components; :meth:`start` starts them."""
        self.settings = settings
        self.loop = loop
        self.ports = ports
        self.decoders = decoders
        self.events = events
        self.metrics = metrics
        self.job_index = JobIndex()
        self.manifest: Manifest | None = None
        self.queue_history = QueueHistory()
        self.waves: dict[int, MaintenanceWave] = {}
        self.draining = False
        self.coordinator: Coordinator | None = None
        #: A term that was won and whose coordinator has not started yet.
        self.starting_term: Term | None = None
        self.registry: WorkerRegistry | None = None
        self.decision_scheduled = False
        self.next_removal_s = 0.0
        self.removal_in_flight = False
        self.peer_calls = peer_calls
        self.responder: Responder | None = None
        self.take_http_load: Callable[[], HttpLoad] = HttpLoad
        self.next_load_s = 0.0
        self.presence: Presence | None = None
        self.relay = Relay(loop, peer_calls, events, rng)
        self.notices = LeaderNotices(peer_calls, metrics, self.leader_address)
        self.lag = RevisionLag()
        self.next_reread_s = 0.0
        self.acceptance = Acceptance(
            loop,
            ports.store,
            events,
            self.relay,
            self.last_store_response_s,
            self.handle_created,
        )
        self.election = Election(
            settings,
            loop,
            ports.store,
            self.job_index,
            events,
            rng,
            self.begin_term,
            self.end_term,
            self.request_lead,
        )
        self.speed = MachineSpeed(loop.clock)
        self.next_speed_check_s = 0.0
        self.handover = LeadHandover(
            loop, self.election, self.relay, self.last_store_response_s
        )
        wait_ms = settings.jobs.watch_ms
        self.job_watch = PrefixWatch(
            loop,
            ports.store,
            events,
            PREFIX,
            self.replace_jobs,
            self.apply_jobs,
            wait_ms,
            WATCH_BATCH_DELAY_S,
        )
        self.operator_watch = PrefixWatch(
            loop,
            ports.store,
            events,
            decoders.operator_prefix,
            self.replace_operator,
            self.apply_operator,
            wait_ms,
        )

    def start(self) -> None:
        """Start the watches; call it in the loop's thread."""
        self.events.note("entry.start", settings=self.settings.entry._asdict())
        if self.responder:
            self.peer_calls.start(self.responder.handle)
        self.job_watch.start()
        self.operator_watch.start()
        self.run_periodically()

    def publish_presence(self) -> None:
        """Publish this entry's address and capacity to its peers."""
        entry = self.settings.entry
        self.presence = Presence(
            self.loop,
            self.ports.store,
            self.events,
            entry.name,
            EntryRecord(self.peer_calls.address, entry.data_centre),
            capacity_of(entry),
        )
        self.presence.start()

    def request_lead(self) -> None:
        """Ask the leader to resign in favour of this entry."""
        if self.presence:
            self.presence.request_lead()

    def run_periodically(self) -> None:
        """Do periodic work and schedule the next round."""
        self.loop.call_later(PERIOD_S, self.run_periodically)
        self.election.eligible = (
            self.job_index.loaded
            and self.manifest is not None
            and not self.draining
        )
        self.check_speed()
        self.election.run()
        self.handover.run()
        self.remove_ended_jobs()
        self.reread_workers()
        self.report_load()

    def check_speed(self) -> None:
        """Check whether this machine has become too slow to lead."""
        now_s = self.loop.clock()
        if now_s >= self.next_speed_check_s:
            self.next_speed_check_s = now_s + SPEED_CHECK_INTERVAL_S
            self.speed.check()
            self.election.is_slow = self.speed.is_slow

    def report_load(self) -> None:
        """Log the load of a leader, and export that of every entry.

        It shows whether late responses waited in this process (lag, busy
        share) or on its link (bytes, calls in progress).
        """
        now_s = self.loop.clock()
        if now_s < self.next_load_s:
            return
        self.next_load_s = now_s + LOAD_INTERVAL_S
        loop, http = self.loop.take_load(), self.take_http_load()
        self.handover.busy_share = loop.busy_share
        self.metrics.timing("loop.lag_ms", loop.lag_s * 1000)
        self.metrics.gauge("loop.busy_share", loop.busy_share)
        self.metrics.gauge("http.pending", http.pending)
        self.metrics.incr("http.unanswered", http.unanswered)
        self.metrics.incr("http.connections", http.connections)
        self.metrics.incr("http.sent_bytes", http.sent_bytes)
        self.metrics.incr("http.received_bytes", http.received_bytes)
        if not self.coordinator:
            return
        workers = self.coordinator.state.workers.values()
        self.events.note(
            "leader.load",
            lag_ms=round(loop.lag_s * 1000, 1),
            busy_share=round(loop.busy_share, 3),
            **http._asdict(),
            orders=sum(worker.orders_in_flight for worker in workers),
            start_window=int(self.coordinator.orders.window.size),
            slowness=round(self.speed.factor, 2),
            silent=sum(worker.failed_polls > 1 for worker in workers),
            workers=len(workers),
        )

    # Changes of the store.

    def replace_jobs(self, items: list[KeyValue], revision: int) -> None:
        """Apply a full read of the jobs."""
        self.load_index(items, revision)
        if self.responder and not self.presence:
            self.election.handle_first_read()
            self.publish_presence()
        self.update_peers()
        self.update_coordinator(items)
        self.check_leader()

    def update_peers(self) -> None:
        """Connect to the leader and to a selection of the other entries."""
        own = self.settings.entry.name
        entries = self.job_index.entries
        others = [name for name in entries if name != own]
        names = choose_nodes(own, others, MAX_CONNECTED_PEERS)
        leader = self.job_index.leader.node if self.job_index.leader else ""
        if leader not in others:
            leader = ""
        elif leader not in names:
            names.append(leader)
        peers = {name: entries[name].address for name in names}
        if peers != self.relay.peers:
            self.events.note(
                "peers.changed", peers=sorted(peers), leader=leader
            )
            self.peer_calls.connect(set(peers.values()))
        self.relay.set_peers(peers, leader)

    def leader_address(self) -> str:
        """Return the leader's address, empty if this entry leads."""
        return self.relay.peers.get(self.relay.leader, "")

    def handle_created(self, key: str, value: bytes, revision: int) -> None:
        """Tell the leader of a job or a cancellation that was stored here."""
        self.lag.record(revision, self.loop.clock())
        self.notices.send(key, value, revision)

    def take_notice(self, key: str, value: bytes, revision: int) -> None:
        """Apply a record that another entry has stored.

        The watch has delivered all up to its revision, so an older record
        that the index lacks has been removed since.

        :raises FieldError: if the record can't be decoded.
        """
        if revision <= self.job_index.revision:
            return
        self.lag.record(revision, self.loop.clock())
        item = KeyValue(key, value, revision, revision)
        self.job_index.apply(item, self.loop.clock())
        self.update_coordinator([item])

    def probe_store(self) -> Future:
        """Make a call to the store for a peer that it may not serve.

        :raises NotAcceptedNowError: if the store does not serve this entry
            either.
        """
        silent_s = self.loop.clock() - self.last_store_response_s()
        if self.job_watch.failures or silent_s > MAX_STORE_SILENCE_S:
            raise NotAcceptedNowError("store_unavailable", 0.0)
        return self.ports.store.read(LEADER)

    def end_lease(self, lease: int) -> Future:
        """End the lease of the leader, which has ended its term.

        :raises NotAcceptedNowError: if another lease is the leader's.
        """
        leader = self.job_index.leader
        if leader is None or leader.lease != lease:
            raise NotAcceptedNowError("foreign_lease", 0.0)
        return self.ports.store.revoke_lease(lease)

    def reread_workers(self) -> None:
        """Read the workers if the store delivers no changes to a leader."""
        now_s = self.loop.clock()
        if (
            not self.registry
            or now_s < self.next_reread_s
            or not self.lag.is_behind(self.job_watch.revision, now_s)
        ):
            return
        self.next_reread_s = now_s + REREAD_INTERVAL_S
        self.events.note(
            "feed.behind",
            revision=self.lag.revision,
            delivered=self.job_watch.revision,
            behind_s=round(now_s - self.lag.since_s, 2),
        )
        self.registry.watch.reread()
        self.operator_watch.reread()

    def load_index(self, items: list[KeyValue], revision: int) -> None:
        """Load a full read into the job index."""
        for error in self.job_index.replace(
            items, revision, self.loop.clock()
        ):
            self.events.note("board.unreadable", reason=error)

    def apply_jobs(self, items: list[KeyValue], revision: int) -> None:
        """Apply changes of the jobs."""
        now_s = self.loop.clock()
        for item in items:
            try:
                self.job_index.apply(item, now_s)
            except FieldError as error:
                self.events.note("board.unreadable", reason=str(error))
        self.job_index.revision = max(self.job_index.revision, revision)
        starting = self.starting_term
        if starting and self.job_index.revision >= starting.fence:
            self.start_coordinator(starting)
        self.update_peers()
        self.update_coordinator(items)
        self.check_leader()

    def check_leader(self) -> None:
        """End the term if another entry leads; try to lead if none does."""
        leader, term = self.job_index.leader, self.election.term
        if term and self.job_index.revision < term.fence:
            # The index does not include the election yet.
            return
        if term and leader and leader.fence > term.fence:
            self.election.resign(f"{leader.node} leads")
        elif term and leader is None:
            self.election.resign("the leader's key is gone")
        elif leader is None:
            self.election.run()

    def update_coordinator(self, items: list[KeyValue]) -> None:
        """Pass new and cancelled jobs to the coordinator."""
        if not self.coordinator:
            return
        for item in items:
            job = item.key.rpartition("/")[2]
            if item.key == job_key(job):
                self.add_open_job(job)
            indexed = self.job_index.jobs.get(job)
            if indexed and indexed.record and indexed.cancelled:
                self.coordinator.cancel_job(job)
        self.schedule_decision()

    def add_open_job(self, job: str) -> None:
        """Pass an indexed job to the coordinator unless it has ended.

        The coordinator forgets jobs that have ended, and would run them
        again.
        """
        indexed = self.job_index.jobs.get(job)
        if not self.coordinator or not indexed or not indexed.record:
            return
        if indexed.state not in FINAL_STATES:
            self.coordinator.add_job(indexed.record, indexed.revision)

    def replace_operator(self, items: list[KeyValue], revision: int) -> None:
        """Apply a full read of what operators have written."""
        self.apply_operator(items, revision, complete=False)

    def apply_operator(
        self, items: list[KeyValue], revision: int, complete: bool = True
    ) -> None:
        """Apply manifests and maintenance waves written by operators.

        :param complete: whether no manifest was missed before these changes.
        """
        for item in items:
            try:
                if item.key == self.decoders.manifest_key and item.value:
                    manifest = self.decoders.manifest(item.value)
                    self.queue_history.observe(manifest, complete)
                    self.set_manifest(manifest)
                elif item.key.startswith(self.decoders.wave_prefix):
                    if item.value:
                        self.set_wave(self.decoders.wave(item.value))
            except FieldError as error:
                self.events.note(
                    "operator.unreadable", key=item.key, reason=str(error)
                )

    def set_manifest(self, manifest: Manifest) -> None:
        """Apply a manifest if it is newer than the current one."""
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
            self.schedule_decision()

    def set_wave(self, wave: MaintenanceWave) -> None:
        """Register a requested maintenance wave."""
        if wave.number in self.waves:
            return
        self.waves[wave.number] = wave
        if self.coordinator:
            self.coordinator.machines.waves.add_wave(wave)

    # Terms.

    def begin_term(self, term: Term) -> None:
        """Read all jobs, then start the coordinator of the term.

        The index has all jobs as soon as the watch has delivered the
        leader's key, which may be before the read ends.
        """
        self.starting_term = term
        # The previous leader may have known a newer manifest.
        self.operator_watch.reread()

        def handle_read(done: Future) -> None:
            if self.starting_term != term:
                return
            if done.exception():
                self.election.resign(f"no reading: {done.exception()}")
                return
            self.load_index(done.result().items, done.result().revision)
            self.start_coordinator(term)

        self.ports.store.read_range(PREFIX).add_done_callback(handle_read)

    def start_coordinator(self, term: Term) -> None:
        """Create the coordinator of a term with the stored state."""
        self.starting_term = None
        state = State(
            self.settings,
            term,
            self.manifest,
            self.loop.clock,
            time.time,
            self.election.lease.is_confirmed,
            self.events,
            self.metrics,
            self.queue_history,
            lambda: self.operator_watch.revision,
        )
        coordinator = Coordinator(state, self.ports, self.record_progress)
        self.coordinator = coordinator
        restore_jobs(coordinator, self.job_index)
        index = self.job_index
        coordinator.machines.takeover.restore(
            index.fleet, index.fleet_revision
        )
        for wave in self.waves.values():
            coordinator.machines.waves.add_wave(
                wave,
                index.waves.get(wave.number),
                index.wave_revisions.get(wave.number, 0),
            )
        self.registry = WorkerRegistry(
            self.loop,
            self.ports.store,
            self.events,
            self.decoders.worker_prefix,
            self.decoders.worker,
            self.settings.jobs.watch_ms,
            coordinator,
            self.schedule_decision,
        )
        self.events.note("term.begin", fence=term.fence, jobs=len(state.jobs))
        self.tick(coordinator)

    def record_progress(
        self, job: str, record: ProgressRecord, revision: int
    ) -> None:
        """Index stored progress before the watch delivers it."""
        now_s = self.loop.clock()
        self.lag.record(revision, now_s)
        self.job_index.update_progress(job, record, revision, now_s)

    def end_term(self, why: str) -> None:
        """Stop the coordinator; another entry takes over."""
        self.starting_term = None
        if self.registry:
            self.registry.stop()
            self.registry = None
        if self.coordinator:
            # Responses that are still to come must cause no orders.
            self.coordinator.state.superseded = why
        self.coordinator = None

    def tick(self, coordinator: Coordinator) -> None:
        """Run a coordinator periodically while its term lasts."""
        if self.coordinator is not coordinator:
            return
        self.loop.call_later(TICK_S, lambda: self.tick(coordinator))
        self.decide()

    def schedule_decision(self) -> None:
        """Schedule a pass of the coordinator after the pending events."""
        if not self.decision_scheduled:
            self.decision_scheduled = True
            self.loop.call_soon(self.decide)

    def decide(self) -> None:
        """Run one pass of the coordinator; resign if it is superseded."""
        self.decision_scheduled = False
        coordinator = self.coordinator
        if not coordinator:
            return
        coordinator.run_once()
        if coordinator.state.superseded:
            self.election.resign(coordinator.state.superseded)

    def remove_ended_jobs(self) -> None:
        """Remove jobs from the store whose retention time has passed."""
        now_s = self.loop.clock()
        if (
            not self.coordinator
            or self.removal_in_flight
            or now_s < self.next_removal_s
        ):
            return
        self.next_removal_s = now_s + REMOVAL_INTERVAL_S
        before_s = now_s - self.settings.jobs.retention_s
        jobs = self.job_index.ended_before(before_s, REMOVED_PER_TXN)
        if jobs:
            self.removal_in_flight = True
            removed = self.coordinator.ledger.remove(jobs)
            removed.add_done_callback(
                lambda done: self.handle_removal(jobs, done)
            )

    def handle_removal(self, jobs: list[str], done: Future) -> None:
        """Forget the jobs that were removed; continue soon if more are due.

        A failed removal is logged; the next one includes the same jobs.
        """
        self.removal_in_flight = False
        if done.exception():
            self.events.note(
                "board.removal_failed", reason=str(done.exception())
            )
            return
        if not done.result().succeeded:
            # Another entry leads.
            return
        self.metrics.incr("jobs.removed", len(jobs))
        for job in jobs:
            self.job_index.jobs.pop(job, None)
        if len(jobs) == REMOVED_PER_TXN:
            now_s = self.loop.clock()
            self.next_removal_s = now_s + QUICK_REMOVAL_INTERVAL_S

    def last_store_response_s(self) -> float:
        """Return when the store last responded to a watch."""
        return max(
            self.job_watch.last_response_s, self.operator_watch.last_response_s
        )

    def is_ready(self) -> bool:
        """Return whether the entry can serve new callers."""
        silent_s = self.loop.clock() - self.last_store_response_s()
        fresh = silent_s < MAX_STORE_SILENCE_S
        return bool(
            self.manifest
            and self.job_index.loaded
            and not self.draining
            and fresh
        )

    def is_watch_behind(self) -> bool:
        """Return whether the watch of the jobs is behind the store."""
        now_s = self.loop.clock()
        watch = self.job_watch
        limit_s = self.settings.jobs.watch_ms / 1000 + WATCH_SLACK_S
        return (
            bool(watch.failures)
            or now_s - watch.last_response_s > limit_s
            or self.lag.is_behind(watch.revision, now_s)
        )

    def is_watch_quiet(self) -> bool:
        """Return whether changes of open jobs may be missing."""
        quiet_s = self.loop.clock() - self.job_watch.last_change_s
        return quiet_s > QUIET_WATCH_S

    def drain(self) -> None:
        """Become unready, withdraw from the peers and end the term."""
        self.draining = True
        if self.presence:
            self.presence.stop()
        self.events.note("entry.drain")
        if self.election.term:
            self.election.resign("the entry stops")
        elif self.election.lease.id:
            self.election.resign("the entry stops")


def restore_jobs(coordinator: Coordinator, job_index: JobIndex) -> None:
    """Add all jobs that have not ended to a coordinator."""
    for job, indexed in job_index.jobs.items():
        if not indexed.record or indexed.progress.state in FINAL_STATES:
            continue
        coordinator.add_job(indexed.record, indexed.revision, True)
        if indexed.progress_revision:
            coordinator.restore_progress(
                job, indexed.progress, indexed.progress_revision
            )
        if indexed.cancelled:
            coordinator.cancel_job(job)
