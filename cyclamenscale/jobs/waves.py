"""Waves of upkeep: which machines are due, and what is told of them."""

from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple, Protocol

from cyclamenscale.jobs.capacity import Capacity
from cyclamenscale.jobs.model import (
    MACHINE_MAINTENANCE,
    Machine,
    MaintenanceWave,
    WaveRecord,
)
from cyclamenscale.jobs.ports import MachineCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import Worker

#: Time of one upkeep with emptying, and what is kept in hand of a wave's
#: time, before machines of hot pools are taken too.
ROUND_S = 4.5
SLACK_S = 3.0


class Fleet(Protocol):
    """What the waves need of the machines."""

    machines: Mapping[str, Machine]
    operations: Mapping[str, Any]
    capacity: Capacity
    listed_s: float

    def worker_of(self, machine: Machine) -> Worker | None:
        """Return the worker that runs on a machine."""

    def begin_upkeep(self, machine: Machine, wave: int, now_s: float) -> None:
        """Start emptying a machine for its upkeep."""


class WaveState(NamedTuple):
    """Progress of a wave.

    :ivar wave: the wave.
    :ivar begun_ms: wall-clock time at which it was first seen.
    :ivar end_s: when all should be done.
    :ivar done: machines that have begun their upkeep.
    :ivar reported: what was reported: states, and states with counts.
    """

    wave: MaintenanceWave
    begun_ms: int
    end_s: float
    done: set[str]
    reported: set[str]


class Waves:
    """Starts the upkeep of machines that are due, and reports.

    :param state: shared knowledge.
    :param calls: takes the reports.
    :param fleet: the machines and the operations on them.
    """

    def __init__(self, state: State, calls: MachineCalls, fleet: Fleet):
        """Start without waves."""
        self.state = state
        self.calls = calls
        self.fleet = fleet
        self.waves: dict[int, WaveState] = {}
        self.report_in_flight = False

    def run(self, now_s: float) -> None:
        """Start what may be started in each wave."""
        for progress in self.waves.values():
            self.run_wave(progress, now_s)

    def due(self) -> set[str]:
        """Return the machines whose upkeep has not begun."""
        return {
            name
            for progress in self.waves.values()
            for name in progress.wave.machines
            if name not in progress.done
        }

    def may_begin(self, wave: int) -> bool:
        """Return whether another machine of a wave may go down now."""
        return self.down_count(wave) < self.limit(wave)

    def note_done(self, wave: int, machine: str) -> None:
        """Note that a machine has begun its upkeep."""
        if wave in self.waves:
            self.waves[wave].done.add(machine)

    def set_wave(
        self, wave: MaintenanceWave, record: WaveRecord | None = None
    ) -> None:
        """Take a requested wave on.

        :param record: what an earlier coordinator has stored of it.
        """
        if wave.number not in self.waves:
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
        """Start upkeep of a wave's machines as far as its limit allows."""
        wave, fleet = progress.wave, self.fleet
        if "completed" in progress.reported:
            return
        self.report(progress, "active")
        down = 0
        ready = []
        left = 0
        for name in wave.machines:
            machine = fleet.machines.get(name)
            if not machine:
                continue
            operation = fleet.operations.get(name)
            if machine.state == MACHINE_MAINTENANCE or (
                operation and operation.wave == wave.number
            ):
                down += 1
            if name in progress.done:
                continue
            left += 1
            if machine.up and not operation:
                ready.append(machine)
        ready.sort(key=self.load_of)
        if self.has_time(progress, left, now_s):
            hot = fleet.capacity.rhythm.hot
            ready = [machine for machine in ready if machine.pool != hot]
        # One more than may be down is emptied ahead.
        for machine in ready[: max(wave.max_down + 1 - down, 0)]:
            fleet.begin_upkeep(machine, wave.number, now_s)
        if not left and not down and fleet.listed_s > 0:
            self.report(progress, "completed")

    def has_time(self, progress: WaveState, left: int, now_s: float) -> bool:
        """Return whether upkeep of machines in hot pools can wait."""
        rounds = -(-left // progress.wave.max_down)
        return progress.end_s - now_s > rounds * ROUND_S + SLACK_S

    def load_of(self, machine: Machine) -> tuple:
        """Return how much runs on a machine, lasting tasks first."""
        worker = self.fleet.worker_of(machine)
        if not worker:
            return (0, 0.0)
        lasting = sum(
            run.task is not None and run.task.step.spec.long_running
            for run in worker.runs.values()
        )
        return (lasting, worker.used.processors)

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
        """Tell the platform of a wave's progress."""
        news = f"{status} {len(progress.done)}"
        if news in progress.reported or self.report_in_flight:
            return
        if not self.state.proven():
            return
        self.report_in_flight = True

        def answered(done: Future) -> None:
            self.report_in_flight = False
            if not done.exception():
                progress.reported.update((status, news))
                self.state.events.note(
                    "wave.reported",
                    wave=progress.wave.number,
                    state=status,
                    left_s=round(progress.end_s - self.state.clock(), 1),
                )

        record = WaveRecord(
            progress.begun_ms,
            tuple(sorted(progress.done)),
            status == "completed",
        )
        answer = self.calls.report_wave(
            progress.wave.number, record, self.state.term.fence
        )
        answer.add_done_callback(answered)
