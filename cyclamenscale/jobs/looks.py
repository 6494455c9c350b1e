"""Looks at workers: holds, and what the reports say of runs and ends."""

from concurrent.futures import Future

from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.model import (
    DONE,
    END_DONE,
    END_EXPIRED,
    END_FAILED,
    END_STOPPED,
    EndReport,
    RunReport,
    WorkerReport,
    parse_task,
)
from cyclamenscale.jobs.orders import Orders
from cyclamenscale.jobs.ports import OrderResponse, PollRequest, WorkerCalls
from cyclamenscale.jobs.speeds import Speeds
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import Task
from cyclamenscale.jobs.worker import (
    RUNNING,
    STOPPING,
    Run,
    Worker,
)

#: Pause before a look that failed is repeated.
RETRY_S = 0.1

#: Repeats after which the pause grows.
QUICK_RETRIES = 5
SLOW_RETRY_S = 0.4

#: Ends in one report; a full list may hide later ones.
ENDS_PAGE = 500


class Looks:
    """Keeps the holds of all workers and follows their reports.

    :param state: shared knowledge.
    :param calls: the workers.
    :param orders: stops runs that should not be there.
    :param speeds: told of runs that were done.
    """

    def __init__(
        self,
        state: State,
        calls: WorkerCalls,
        orders: Orders,
        speeds: Speeds,
    ):
        """Start without looks in flight."""
        self.state = state
        self.calls = calls
        self.orders = orders
        self.speeds = speeds

    def due(self, now_s: float) -> None:
        """Look at the workers whose time has come."""
        for worker in self.state.workers.values():
            if (
                not worker.look_in_flight
                and not worker.gone
                and worker.look_due_s <= now_s
            ):
                self.look(worker)
            if (
                worker.probe_due_s
                and not worker.probe_in_flight
                and not worker.gone
                and worker.probe_due_s <= now_s
            ):
                self.probe(worker)

    def probe(self, worker: Worker) -> None:
        """Look at once after an order without an answer.

        The look that waits for ends would tell only after its time, and its
        connection may have gone silent.
        """
        worker.probe_in_flight = True
        order = PollRequest(self.state.term.fence, worker.acknowledged)
        answer = self.calls.poll(worker.entry, order, True)
        answer.add_done_callback(lambda done: self.probed(worker, done))

    def probed(self, worker: Worker, done: Future) -> None:
        """Take the answer to a probe."""
        now_s = self.state.clock()
        worker.probe_in_flight = False
        error = done.exception()
        if error:
            # The looks go on, or the next probe does.
            self.failed(worker, error.reason, now_s)
            worker.probe_due_s = now_s + RETRY_S
            return
        self.take_answer(worker, done.result(), now_s)

    def look(self, worker: Worker) -> None:
        """Extend a worker's hold and wait for its report."""
        state = self.state
        known = worker.fence == state.term.fence
        waits = known and not worker.failed_looks
        settings = state.settings.jobs
        # Ends that are not acknowledged would be returned at once.
        unstored = worker.applied > worker.acknowledged
        wait_ms = int(settings.look_s * 1000) if waits and not unstored else 0
        # A silent worker's hold must run out, and an order without an
        # answer counts as carried out, so repeats do not extend it.
        extends = known and not worker.failed_looks
        order = PollRequest(
            state.term.fence,
            worker.acknowledged,
            self.orders.deadline_ms(worker) if extends else 0,
            wait_ms,
        )
        worker.look_in_flight = True
        fresh = worker.failed_looks > 0
        sent_s = state.clock()
        answer = self.calls.poll(worker.entry, order, fresh)
        answer.add_done_callback(
            lambda done: self.answered(worker, done, sent_s)
        )

    def answered(self, worker: Worker, done: Future, sent_s: float) -> None:
        """Take the answer to a look."""
        state = self.state
        now_s = state.clock()
        worker.look_in_flight = False
        error = done.exception()
        if error:
            self.failed(worker, error.reason, now_s)
            return
        self.take_answer(worker, done.result(), now_s)

    def take_answer(
        self,
        worker: Worker,
        answer: WorkerReport | OrderResponse,
        now_s: float,
    ) -> None:
        """Follow an answer, to a look that waited or to a probe."""
        worker.probe_due_s = 0.0
        if isinstance(answer, OrderResponse):
            self.refused(worker, answer, now_s)
        else:
            self.take_report(worker, answer, now_s)

    def take_report(
        self, worker: Worker, answer: WorkerReport, now_s: float
    ) -> None:
        """Note that a worker has answered, and follow its report."""
        state = self.state
        if worker.failed_looks > 1:
            state.events.note(
                "worker.answers",
                worker=worker.id,
                failed_looks=worker.failed_looks,
                silent_s=round(now_s - worker.answered_s, 2),
            )
        worker.failed_looks = 0
        worker.answered_s = now_s
        first = worker.fence != state.term.fence
        worker.fence = state.term.fence
        worker.look_due_s = now_s
        self.report(worker, answer, now_s)
        if worker.applied > worker.acknowledged:
            # The ledger makes the next look once the ends are stored.
            worker.look_due_s = now_s + RETRY_S
        if first:
            state.events.note(
                "worker.taken_over",
                worker=worker.id,
                pool=worker.entry.pool,
                runs=len(worker.runs),
                fence=state.term.fence,
            )
            state.touch()

    def failed(self, worker: Worker, reason: str, now_s: float) -> None:
        """Note a look without an answer."""
        worker.failed_looks += 1
        slow = worker.failed_looks > QUICK_RETRIES
        worker.look_due_s = now_s + (SLOW_RETRY_S if slow else RETRY_S)
        self.state.metrics.incr("jobs.looks_failed")
        if worker.failed_looks == 2:
            self.state.events.note(
                "worker.silent",
                worker=worker.id,
                reason=reason,
                runs=len(worker.runs),
                lapse_in_s=round(worker.lapse_s() - now_s, 2),
            )

    def refused(
        self, worker: Worker, answer: OrderResponse, now_s: float
    ) -> None:
        """Note a look that the worker refused."""
        worker.look_due_s = now_s + RETRY_S
        if answer.reason == "fence":
            self.state.deposed = f"worker {worker.id} has seen a higher fence"
        elif answer.reason == "other_life":
            worker.gone = True
        else:
            worker.failed_looks += 1

    def report(
        self, worker: Worker, report: WorkerReport, now_s: float
    ) -> None:
        """Follow a report."""
        if report.started_ms and report.started_ms != worker.entry.started_ms:
            worker.gone = True
            registry = self.state.registry
            if worker.id in registry:
                entry = registry[worker.id]
                registry[worker.id] = entry._replace(
                    started_ms=report.started_ms
                )
            return
        worker.note_clock(report.clock_ms, now_s)
        if report.clock_ms < worker.reported_ms:
            # A probe's answer has overtaken it.
            return
        worker.reported_ms = report.clock_ms
        for end in report.ends:
            if end.number > worker.applied:
                worker.applied = end.number
                self.end(worker, end, now_s)
        shown = set()
        for row in report.runs:
            key = (row.task, row.run)
            shown.add(key)
            run = worker.runs.get(key)
            if run:
                worker.update_run(run, row, report.clock_ms, now_s)
            else:
                self.adopt(worker, row, report.clock_ms, now_s)
        if len(report.ends) < ENDS_PAGE:
            self.drop_missing(worker, shown, report.clock_ms)

    def drop_missing(self, worker: Worker, shown: set, clock_ms: int) -> None:
        """Drop runs that were there, or stopped, and are not any more."""
        for run in list(worker.runs.values()):
            if (
                run.key not in shown
                and run.confirmed_ms
                and run.confirmed_ms < clock_ms
                and not run.in_flight
            ):
                if run.phase != STOPPING:
                    self.state.events.note(
                        "task.missing",
                        task=run.name,
                        run=run.number,
                        worker=worker.id,
                        confirmed_ms=run.confirmed_ms,
                        clock_ms=clock_ms,
                    )
                self.ended(run, END_STOPPED, "")

    def adopt(
        self, worker: Worker, row: RunReport, clock_ms: int, now_s: float
    ) -> None:
        """Take over a run that this term did not start."""
        task = self.find(row.task)
        run = Run(row.task, row.run, task, worker, now_s)
        run.adopted = True
        run.phase = RUNNING
        worker.add(run)
        worker.update_run(run, row, clock_ms, now_s)
        if not task or task.done or task.job.ended:
            self.orders.stop(run, "its job is not open")
            return
        job = task.job
        job.highest_run = max(job.highest_run, row.run)
        rival = next((r for r in task.runs if r.phase != STOPPING), None)
        task.runs.append(run)
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        job.mark_running()
        if rival and not task.step.spec.allows_copies:
            self.orders.stop(run, "another run of the task is known")

    def attach(self, job: Job) -> None:
        """Find the runs that were seen before their job was known.

        They are being stopped; until they have ended their tasks must not
        start again.
        """
        prefix = f"{job.record.id}."
        for worker in self.state.workers.values():
            for run in worker.runs.values():
                if run.task or not run.name.startswith(prefix):
                    continue
                task = self.find(run.name)
                if not task:
                    continue
                worker.identify(run, task)
                job.highest_run = max(job.highest_run, run.number)
                task.runs.append(run)
                if task in task.step.waiting:
                    task.step.waiting.remove(task)

    def find(self, name: str) -> Task | None:
        """Return the open task of a name, if there is one."""
        parts = parse_task(name)
        if not parts:
            return None
        job = self.state.jobs.get(parts[0])
        return job.find_task(*parts[1:]) if job else None

    def end(self, worker: Worker, end: EndReport, now_s: float) -> None:
        """Apply the end of a run."""
        run = worker.runs.get((end.task, end.run))
        task = self.find(end.task)
        if run is None:
            # From an earlier term, or after its hold was taken to be over.
            run = Run(end.task, end.run, task, worker, now_s)
            run.adopted = True
            if task:
                task.job.highest_run = max(task.job.highest_run, end.run)
        self.ended(run, end.outcome, end.checkpoint)

    def ended(self, run: Run, how: str, checkpoint: str) -> None:
        """Note that a run has ended, whatever showed it."""
        state, worker, task = self.state, run.worker, run.task
        now_s = state.clock()
        worker.remove(run)
        state.touch()
        state.metrics.incr("jobs.ends")
        state.events.note(
            "task.end",
            task=run.name,
            run=run.number,
            worker=worker.id,
            how=how,
            ran_s=round(now_s - run.started_s, 3),
        )
        self.judge(worker, run, how)
        if not task:
            return
        job = task.job
        if how == END_FAILED:
            task.avoid.add(worker.id)
        before = job.state
        job.record_end(task, run.number, how, checkpoint)
        if how != END_DONE:
            self.orders.stop_gang(run)
        if task.done or job.ended:
            for other in list(task.runs):
                self.orders.stop(other, "the task is done or not wanted")
        if job.state != before:
            self.job_changed(job)
        self.clear_cancelled(job)

    def judge(self, worker: Worker, run: Run, how: str) -> None:
        """Count failed runs of different jobs on a worker."""
        if how == END_DONE:
            worker.demerits = 0
            worker.failed_jobs.clear()
            self.speeds.note_done(run, self.state.clock())
        elif how == END_FAILED:
            job = run.name.partition(".")[0]
            if job not in worker.failed_jobs and len(worker.failed_jobs) < 50:
                worker.failed_jobs.add(job)
                worker.demerits += 1

    def job_changed(self, job: Job) -> None:
        """Log a change of state; stop what a failed job still runs."""
        age_s = self.state.clock() - job.accepted_s
        self.state.events.note(
            "job.state",
            job=job.record.id,
            state=job.state,
            age_s=round(age_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        if job.state == DONE:
            self.state.metrics.timing("jobs.done_ms", age_s * 1000)
        if job.ended:
            for task in job.tasks():
                for run in list(task.runs):
                    self.orders.stop(run, "the job has ended")

    def clear_cancelled(self, job: Job) -> None:
        """End a cancelled job once nothing of it runs."""
        if job.cancelled and not any(task.runs for task in job.tasks()):
            job.complete_cancellation()

    def lapse(self, now_s: float) -> None:
        """Drop what certainly does not run any more."""
        for worker in list(self.state.workers.values()):
            if worker.runs and (
                worker.gone
                or (worker.failed_looks and now_s > worker.lapse_s())
            ):
                self.state.events.note(
                    "worker.lapsed",
                    worker=worker.id,
                    gone=worker.gone,
                    runs=len(worker.runs),
                )
                for run in list(worker.runs.values()):
                    self.ended(run, END_EXPIRED, "")
            if self.is_over(worker, now_s):
                del self.state.workers[worker.id]

    def is_over(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker needs no more looks."""
        if worker.runs or worker.look_in_flight or worker.orders_in_flight:
            return False
        if worker.probe_in_flight:
            return False
        if worker.gone:
            return True
        silent = worker.failed_looks > 3 and now_s > worker.lapse_s()
        return not worker.listed and silent
