"""Maintenance waves: starts the maintenance of machines and reports on it."""

from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple, Protocol

from cyclamenscale.jobs.capacity import CapacityPlanner
from cyclamenscale.jobs.keys import LEADER, wave_key
from cyclamenscale.jobs.model import (
    MACHINE_MAINTENANCE,
    Machine,
    MaintenanceWave,
    WaveRecord,
)
from cyclamenscale.jobs.ports import MachineCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import Worker
from cyclamenscale.store.port import TxnResult

#: Time to empty and maintain one machine, and time kept in reserve. Machines
#: of the pool in its demand peak wait until a wave needs its remaining time.
MAINTENANCE_ROUND_S = 4.5
SLACK_S = 3.0


class Fleet(Protocol):
    """Machines and operations as :class:`MaintenanceWaves` uses them."""

    machines: Mapping[str, Machine]
    operations: Mapping[str, Any]
    planner: CapacityPlanner
    list_read_s: float

    def worker_of(self, machine: Machine) -> Worker | None:
        """Return the worker that runs on a machine, if it is known."""

    def begin_maintenance(
        self, machine: Machine, wave: int, now_s: float
    ) -> None:
        """Start emptying a machine for its maintenance."""


class WaveState(NamedTuple):
    """Progress of a maintenance wave.

    :ivar wave: the wave.
    :ivar first_seen_ms: wall-clock time at which it was first seen.
    :ivar end_s: when all machines should be done.
    :ivar started: machines whose maintenance has begun.
    :ivar reported: states, and states with counts, already reported.
    """

    wave: MaintenanceWave
    first_seen_ms: int
    end_s: float
    started: set[str]
    reported: set[str]


class MaintenanceWaves:
    """Starts the maintenance of the machines of all waves and reports on it.

    :param state: shared state of the term.
    :param calls: receives the reports.
    :param fleet: the machines and the operations on them.
    """

    def __init__(self, state: State, calls: MachineCalls, fleet: Fleet):
        """Initialise with no waves."""
        self.state = state
        self.calls = calls
        self.fleet = fleet
        self.waves: dict[int, WaveState] = {}
        #: Revision of the stored progress of each wave, 0 if there is none.
        self.stored_revisions: dict[int, int] = {}
        self.report_in_flight = False

    def run(self, now_s: float) -> None:
        """Start the maintenance that each wave allows now."""
        for progress in self.waves.values():
            self.run_wave(progress, now_s)

    def pending_machines(self) -> set[str]:
        """Return the machines whose maintenance has not begun."""
        return {
            name
            for progress in self.waves.values()
            for name in progress.wave.machines
            if name not in progress.started
        }

    def may_begin(self, wave: int) -> bool:
        """Return whether another machine of a wave may be taken down now."""
        return self.down_count(wave) < self.limit(wave)

    def record_started(self, wave: int, machine: str) -> None:
        """Record that the maintenance of a machine has begun."""
        if wave in self.waves:
            self.waves[wave].started.add(machine)

    def add_wave(
        self,
        wave: MaintenanceWave,
        record: WaveRecord | None = None,
        revision: int = 0,
    ) -> None:
        """Add a requested wave.

        :param record: its progress as an earlier coordinator stored it.
        :param revision: revision of that record, 0 if there is none.
        """
        if wave.number not in self.waves:
            self.stored_revisions[wave.number] = revision
            now_ms = int(self.state.wall() * 1000)
            if record is None:
                record = WaveRecord(now_ms, (), False)
            age_s = max(now_ms - record.first_seen_ms, 0) / 1000
            reported = (
                {"active", "completed"}
                if record.completion_reported
                else set()
            )
            self.waves[wave.number] = WaveState(
                wave,
                record.first_seen_ms,
                self.state.clock() + wave.duration_s - age_s,
                set(record.started),
                reported,
            )
            self.state.events.note(
                "wave.requested",
                wave=wave.number,
                machines=len(wave.machines),
                limit=wave.max_down,
                duration_s=wave.duration_s,
            )

    def run_wave(self, progress: WaveState, now_s: float) -> None:
        """Start maintenance of a wave's machines as its limit allows."""
        wave, fleet = progress.wave, self.fleet
        if "completed" in progress.reported:
            return
        self.report(progress, "active")
        down = 0
        ready = []
        remaining = 0
        for name in wave.machines:
            machine = fleet.machines.get(name)
            if not machine:
                continue
            operation = fleet.operations.get(name)
            if machine.state == MACHINE_MAINTENANCE or (
                operation and operation.wave == wave.number
            ):
                down += 1
            if name in progress.started:
                continue
            remaining += 1
            if machine.up and not operation:
                ready.append(machine)
        ready.sort(key=self.load_of)
        if self.can_defer_peak_pool(progress, remaining, now_s):
            peak_pool = fleet.planner.forecast.peak_pool
            ready = [machine for machine in ready if machine.pool != peak_pool]
        # One machine more than may be down is emptied in advance.
        for machine in ready[: max(wave.max_down + 1 - down, 0)]:
            fleet.begin_maintenance(machine, wave.number, now_s)
        if not remaining and not down and fleet.list_read_s > 0:
            self.report(progress, "completed")

    def can_defer_peak_pool(
        self, progress: WaveState, remaining: int, now_s: float
    ) -> bool:
        """Return whether machines of the pool in its peak can wait."""
        rounds = -(-remaining // progress.wave.max_down)
        return progress.end_s - now_s > rounds * MAINTENANCE_ROUND_S + SLACK_S

    def load_of(self, machine: Machine) -> tuple:
        """Return a machine's load: long-running tasks, then processors."""
        worker = self.fleet.worker_of(machine)
        if not worker:
            return (0, 0.0)
        long_running = sum(
            run.task is not None and run.task.step.spec.long_running
            for run in worker.runs.values()
        )
        return (long_running, worker.allocated.processors)

    def limit(self, wave: int) -> int:
        """Return how many machines of a wave may be down at once."""
        return self.waves[wave].wave.max_down if wave in self.waves else 0

    def down_count(self, wave: int) -> int:
        """Return how many machines of a wave are, or may be, down."""
        progress = self.waves.get(wave)
        names = progress.wave.machines if progress else ()
        count = 0
        for name in names:
            operation = self.fleet.operations.get(name)
            machine = self.fleet.machines.get(name)
            ordered = operation and operation.ordered and operation.wave
            if ordered or (machine and machine.state == MACHINE_MAINTENANCE):
                count += 1
        return count

    def report(self, progress: WaveState, status: str) -> None:
        """Report a wave's progress to the platform."""
        summary = f"{status} {len(progress.started)}"
        if summary in progress.reported or self.report_in_flight:
            return
        if not self.state.lease_confirmed():
            return
        self.report_in_flight = True

        def handle_response(done: Future) -> None:
            self.report_in_flight = False
            if not done.exception() and self.record_stored(
                progress.wave.number, done.result()
            ):
                progress.reported.update((status, summary))
                self.state.events.note(
                    "wave.reported",
                    wave=progress.wave.number,
                    state=status,
                    left_s=round(progress.end_s - self.state.clock(), 1),
                )

        record = WaveRecord(
            progress.first_seen_ms,
            tuple(sorted(progress.started)),
            status == "completed",
        )
        number = progress.wave.number
        call = self.calls.report_wave(
            number,
            record,
            self.state.term.fence,
            self.stored_revisions[number],
        )
        call.add_done_callback(handle_response)

    def record_stored(self, wave: int, result: TxnResult) -> bool:
        """Record the revision of a wave's stored progress.

        :returns: whether the report was stored; if not, an earlier one
            without a response was, and it is repeated.
        """
        if result.succeeded:
            self.stored_revisions[wave] = result.revision
            return True
        leader = result.current.get(LEADER)
        if not leader or leader.mod_revision != self.state.term.fence:
            self.state.superseded = "the leader's key has changed"
            return False
        found = result.current.get(wave_key(wave))
        self.stored_revisions[wave] = found.mod_revision if found else 0
        return False
