"""Polls workers: renews task leases and applies reports of runs and ends."""

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
    WorkerRecord,
    WorkerReport,
    parse_task,
)
from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.ports import OrderResponse, PollRequest, WorkerCalls
from cyclamenscale.jobs.speeds import SpeedMonitor
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import Task
from cyclamenscale.jobs.worker import (
    RUNNING,
    STOPPING,
    Run,
    Worker,
)

#: Delay before a failed poll is repeated.
RETRY_DELAY_S = 0.1

#: Failed polls after which the delay grows to ``SLOW_RETRY_DELAY_S``.
QUICK_RETRIES = 5
SLOW_RETRY_DELAY_S = 0.4

#: Maximum number of ends in one report; a full list may lack later ones.
MAX_REPORTED_ENDS = 500


class WorkerPoller:
    """Renews the task leases of all workers and applies their reports.

    :param state: shared state of the term.
    :param calls: calls to the workers.
    :param orders: stops runs that should not exist.
    :param speeds: notified of runs that were done.
    """

    def __init__(
        self,
        state: State,
        calls: WorkerCalls,
        orders: WorkerOrders,
        speeds: SpeedMonitor,
    ):
        """Initialise with no polls in flight."""
        self.state = state
        self.calls = calls
        self.orders = orders
        self.speeds = speeds

    def poll_due(self, now_s: float) -> None:
        """Poll the workers whose poll is due."""
        is_current = self.state.is_current()
        for worker in self.state.workers.values():
            if (
                not worker.poll_in_flight
                and not worker.terminated
                and worker.poll_due_s <= now_s
            ):
                self.poll(worker, is_current)
            if (
                worker.immediate_poll_due_s
                and not worker.immediate_poll_in_flight
                and not worker.terminated
                and worker.immediate_poll_due_s <= now_s
            ):
                self.poll_immediately(worker)

    def poll_immediately(self, worker: Worker) -> None:
        """Poll without waiting, after an order without a response.

        A pending long poll reports only after its wait, and its connection
        may be broken.
        """
        worker.immediate_poll_in_flight = True
        request = PollRequest(
            self.state.term.fence, self.end_to_forget(worker)
        )
        sent_s = self.state.clock()
        call = self.calls.poll(worker.record, request, True)
        call.add_done_callback(
            lambda done: self.handle_immediate_poll_response(
                worker, done, sent_s, request
            )
        )

    def end_to_forget(self, worker: Worker) -> int:
        """Return the number of the last end that a worker is to forget.

        :returns: 0 once it has done so. A poll may reach a later incarnation
            under the worker's id, whose ends have the same numbers.
        """
        number = worker.last_acknowledged_end
        return number if number > worker.forgotten_end else 0

    def handle_immediate_poll_response(
        self,
        worker: Worker,
        done: Future,
        sent_s: float,
        request: PollRequest,
    ) -> None:
        """Handle the response to an immediate poll."""
        now_s = self.state.clock()
        worker.immediate_poll_in_flight = False
        error = done.exception()
        if error:
            # Long polls continue, and the immediate poll is repeated.
            self.record_failed_poll(worker, error.reason, now_s)
            worker.immediate_poll_due_s = worker.poll_due_s
            return
        self.handle_response(worker, done.result(), sent_s, request)

    def poll(self, worker: Worker, is_current: bool) -> None:
        """Renew the lease of a worker's runs and wait for its report.

        :param is_current: whether the term is confirmed.
        """
        state = self.state
        responds = worker.fence == state.term.fence and not worker.failed_polls
        # The lease of a silent worker must expire, and a poll without a
        # response may have renewed it, so retries don't renew it again. The
        # leases of a superseded term must expire too: the successor waits
        # for that on a worker that it does not reach.
        renews = responds and is_current
        wait_s = 0.0
        # Unacknowledged ends would end the wait at once.
        if responds and (
            worker.last_applied_end <= worker.last_acknowledged_end
        ):
            # Polls of a short wait confirm the term sooner.
            wait_s = (
                state.settings.jobs.look_s if is_current else RETRY_DELAY_S
            )
        request = PollRequest(
            state.term.fence,
            self.end_to_forget(worker),
            self.orders.extend_lease(worker) if renews else 0,
            int(wait_s * 1000),
        )
        worker.poll_in_flight = True
        new_connection = worker.failed_polls > 0
        sent_s = state.clock()
        call = self.calls.poll(worker.record, request, new_connection)
        call.add_done_callback(
            lambda done: self.handle_poll_response(
                worker, done, sent_s, request
            )
        )

    def handle_poll_response(
        self,
        worker: Worker,
        done: Future,
        sent_s: float,
        request: PollRequest,
    ) -> None:
        """Handle the response to a long poll."""
        now_s = self.state.clock()
        worker.poll_in_flight = False
        error = done.exception()
        if error:
            self.record_failed_poll(worker, error.reason, now_s)
            return
        self.handle_response(worker, done.result(), sent_s, request)

    def handle_response(
        self,
        worker: Worker,
        response: WorkerReport | OrderResponse,
        sent_s: float,
        request: PollRequest,
    ) -> None:
        """Handle the response to a long or an immediate poll."""
        now_s = self.state.clock()
        if isinstance(response, OrderResponse):
            self.handle_refusal(worker, response, now_s)
        else:
            worker.immediate_poll_due_s = 0.0
            worker.forgotten_end = max(
                worker.forgotten_end, request.acknowledged_end
            )
            self.handle_report(worker, response, sent_s, now_s)

    def handle_report(
        self,
        worker: Worker,
        report: WorkerReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record that a worker has responded, and apply its report."""
        state = self.state
        if worker.failed_polls > 1:
            state.events.note(
                "worker.answers",
                worker=worker.id,
                failed_looks=worker.failed_polls,
                silent_s=round(now_s - worker.last_response_s, 2),
            )
        worker.failed_polls = 0
        worker.expiry_logged = False
        worker.last_response_s = now_s
        first = worker.fence != state.term.fence
        worker.fence = state.term.fence
        worker.fence_confirmed_s = max(worker.fence_confirmed_s, sent_s)
        worker.poll_due_s = now_s
        if first:
            # An earlier leader may have renewed the lease just before.
            lease_ms = int(state.task_lease_s * 1000)
            worker.lease_deadline_ms = max(
                worker.lease_deadline_ms, report.clock_ms + lease_ms
            )
        self.apply_report(worker, report, now_s)
        if worker.last_applied_end > worker.last_acknowledged_end:
            # The next poll becomes due as soon as the ends are stored.
            worker.poll_due_s = now_s + RETRY_DELAY_S
        if first:
            state.events.note(
                "worker.taken_over",
                worker=worker.id,
                pool=worker.record.pool,
                runs=len(worker.runs),
                ends=len(report.ends),
                fence=state.term.fence,
            )
            state.mark_changed()

    def record_failed_poll(
        self, worker: Worker, reason: str, now_s: float
    ) -> None:
        """Record a poll without a report."""
        worker.failed_polls += 1
        slow = worker.failed_polls > QUICK_RETRIES
        worker.poll_due_s = now_s + (
            SLOW_RETRY_DELAY_S if slow else RETRY_DELAY_S
        )
        self.state.metrics.incr("jobs.looks_failed")
        if worker.failed_polls == 2:
            self.state.events.note(
                "worker.silent",
                worker=worker.id,
                reason=reason,
                runs=len(worker.runs),
                lapse_in_s=round(worker.lease_expiry_s() - now_s, 2),
            )

    def handle_refusal(
        self, worker: Worker, response: OrderResponse, now_s: float
    ) -> None:
        """Handle a poll that the worker refused."""
        if response.reason == "fence":
            self.state.superseded = (
                f"worker {worker.id} has seen a higher fence"
            )
        elif response.reason == "other_life":
            worker.terminated = True
        else:
            self.record_failed_poll(worker, response.reason, now_s)
            if worker.immediate_poll_due_s:
                worker.immediate_poll_due_s = worker.poll_due_s

    def apply_report(
        self, worker: Worker, report: WorkerReport, now_s: float
    ) -> None:
        """Apply a report, unless it is outdated or the worker restarted."""
        if report.started_ms and report.started_ms != worker.record.started_ms:
            worker.terminated = True
            registry = self.state.registry
            if worker.id in registry:
                # The new incarnation may be of another kind. Its labels are
                # unknown until it has registered.
                registry[worker.id] = registry[worker.id]._replace(
                    started_ms=report.started_ms, labels=()
                )
            return
        worker.record_clock(report.clock_ms, now_s)
        if report.clock_ms < worker.reported_ms:
            # The response to a later poll has overtaken this one.
            return
        worker.reported_ms = report.clock_ms
        for end in report.ends:
            if end.number > worker.last_applied_end:
                worker.last_applied_end = end.number
                self.apply_end(worker, end, now_s)
        reported = set()
        for run_report in report.runs:
            key = (run_report.task, run_report.run)
            reported.add(key)
            run = worker.runs.get(key)
            if run:
                worker.update_run(run, run_report, report.clock_ms, now_s)
                if run.task:
                    self.orders.record_begun(run.task)
            else:
                self.inherit_run(worker, run_report, report.clock_ms, now_s)
        worker.ends_truncated = len(report.ends) >= MAX_REPORTED_ENDS
        if not worker.ends_truncated:
            self.drop_missing_runs(worker, reported, report.clock_ms)

    def drop_missing_runs(
        self, worker: Worker, reported: set, clock_ms: int
    ) -> None:
        """Drop runs that a report lacks and that were confirmed before it."""
        for run in list(worker.runs.values()):
            if (
                run.key not in reported
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
                self.record_end(run, END_STOPPED, "")

    def inherit_run(
        self, worker: Worker, report: RunReport, clock_ms: int, now_s: float
    ) -> None:
        """Inherit a run that this term did not start."""
        task = self.find_started_task(report.task)
        run = Run(report.task, report.run, task, worker, now_s)
        run.inherited = True
        run.phase = RUNNING
        worker.add_run(run)
        worker.update_run(run, report, clock_ms, now_s)
        if not task or task.done or task.job.ended:
            self.orders.stop(run, "its job is not open")
            return
        job = task.job
        job.highest_run = max(job.highest_run, report.run)
        other_run = next((r for r in task.runs if r.phase != STOPPING), None)
        task.runs.append(run)
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        self.orders.record_begun(task)
        if other_run and not task.step.spec.allows_copies:
            self.orders.stop(run, "another run of the task is known")

    def link_runs(self, job: Job) -> None:
        """Link a job to runs that were reported before it was added.

        They are being stopped; their tasks must not start again until they
        have ended.
        """
        prefix = f"{job.record.id}."
        for worker in self.state.workers.values():
            for run in worker.runs.values():
                if run.task or not run.name.startswith(prefix):
                    continue
                task = self.find_started_task(run.name)
                if not task:
                    continue
                worker.set_task(run, task)
                job.highest_run = max(job.highest_run, run.number)
                task.runs.append(run)
                if task in task.step.waiting:
                    task.step.waiting.remove(task)

    def find_started_task(self, name: str) -> Task | None:
        """Return a task that a worker reported, if its job knows it."""
        parts = parse_task(name)
        job = self.state.jobs.get(parts[0]) if parts else None
        if not job:
            return None
        job.open_started_occurrence(parts[1], self.state.clock())
        return job.find_task(*parts[1:])

    def apply_end(self, worker: Worker, end: EndReport, now_s: float) -> None:
        """Apply a reported end of a run."""
        run = worker.runs.get((end.task, end.run))
        task = self.find_started_task(end.task)
        if run is None:
            # It is from an earlier term, or was dropped as expired.
            run = Run(end.task, end.run, task, worker, now_s)
            run.inherited = True
            if task:
                task.job.highest_run = max(task.job.highest_run, end.run)
            self.state.events.note(
                "task.end_unexpected",
                task=end.task,
                run=end.run,
                worker=worker.id,
                how=end.outcome,
                end=end.number,
                open=bool(task and not task.done),
                runs=len(task.runs) if task else 0,
                clock_ms=worker.reported_ms,
                deadline_ms=worker.lease_deadline_ms,
            )
        if task:
            self.orders.record_begun(task)
        self.record_end(run, end.outcome, end.checkpoint)

    def record_end(self, run: Run, outcome: str, checkpoint: str) -> None:
        """Record the end of a run, whether reported or inferred."""
        state, worker, task = self.state, run.worker, run.task
        now_s = state.clock()
        worker.remove_run(run)
        state.mark_changed()
        state.metrics.incr("jobs.ends")
        state.events.note(
            "task.end",
            task=run.name,
            run=run.number,
            worker=worker.id,
            how=outcome,
            ran_s=round(now_s - run.started_s, 3),
        )
        self.record_outcome(worker, run, outcome)
        if not task:
            return
        job = task.job
        if outcome == END_FAILED:
            task.avoided_workers.add(worker.id)
        before = job.state
        job.record_end(task, run.number, outcome, checkpoint)
        if outcome != END_DONE:
            self.orders.stop_gang(run)
        if task.done or job.ended:
            for other in list(task.runs):
                self.orders.stop(other, "the task is done or not wanted")
        if job.state != before:
            self.job_state_changed(job)
        self.finish_cancelled(job)

    def record_outcome(self, worker: Worker, run: Run, outcome: str) -> None:
        """Count consecutive failures of different jobs on a worker."""
        if outcome == END_DONE:
            worker.consecutive_failures = 0
            worker.failed_jobs.clear()
            self.speeds.record_done(run, self.state.clock())
        elif outcome == END_FAILED:
            job = run.name.partition(".")[0]
            if job not in worker.failed_jobs and len(worker.failed_jobs) < 50:
                worker.failed_jobs.add(job)
                worker.consecutive_failures += 1

    def job_state_changed(self, job: Job) -> None:
        """Log a change of state; stop all runs of a job that has ended."""
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

    def finish_cancelled(self, job: Job) -> None:
        """End a cancelled job once it has no runs."""
        if job.cancelled and not any(task.runs for task in job.tasks()):
            job.complete_cancellation()

    def expire_leases(self, now_s: float) -> None:
        """Drop runs that have certainly ended, and unneeded workers."""
        for worker in list(self.state.workers.values()):
            if worker.runs and (
                worker.terminated or self.state.has_expired(worker)
            ):
                self.drop_ended_runs(worker, now_s)
            if self.is_removable(worker, now_s):
                del self.state.workers[worker.id]
                self.state.record_former(worker)
                if worker.terminated:
                    self.state.record_ended(worker)
                if worker.runs:
                    self.begin_incarnation(worker, now_s)

    def add_worker(self, record: WorkerRecord, now_s: float) -> Worker:
        """Add a new incarnation of a worker.

        Starts meant for the former one that may still be carried out are
        stopped: it has forgotten which runs it must refuse, and their tasks
        may have been done.
        """
        state = self.state
        worker = Worker(record, now_s)
        worker.clock_received_s = now_s
        worker.foreign_lease_until_s = state.foreign_lease_until_s(record)
        state.workers[record.id] = worker
        former = state.former_of(record)
        for name, number in former.late_starts if former else ():
            run = Run(name, number, None, worker, now_s)
            run.phase = STOPPING
            run.unanswered_s = now_s
            worker.add_run(run)
        return worker

    def ended_runs(self, worker: Worker, now_s: float) -> list[Run]:
        """Return the runs that ended with a worker's lease or incarnation.

        If the worker is alive, runs that may be done are kept until its
        report tells: the end of a run that was done before the lease expired
        is still listed, and its task must not start again.

        If a worker has restarted under its id, a start may have reached the
        later incarnation unless the earlier one has listed the run and all
        its starts were answered. A response does not tell which of the two
        gave it.
        """
        runs = list(worker.runs.values())
        if not worker.terminated:
            awaits = self.state.awaits_report(worker)
            return [run for run in runs if not (awaits and run.may_be_done)]
        record = self.state.registry.get(worker.id)
        if record and record.started_ms != worker.record.started_ms:
            late_starts = worker.late_starts(now_s)
            return [
                run
                for run in runs
                if run.reported and run.key not in late_starts
            ]
        return runs

    def drop_ended_runs(self, worker: Worker, now_s: float) -> None:
        """Drop the runs that ended with a worker's lease or incarnation."""
        ended = self.ended_runs(worker, now_s)
        if ended or not worker.expiry_logged:
            self.state.events.note(
                "worker.lapsed",
                worker=worker.id,
                gone=worker.terminated,
                runs=len(ended),
                awaited=len(worker.runs) - len(ended),
                silent_s=round(now_s - worker.last_response_s, 2),
                extended_age_s=round(now_s - worker.lease_extended_s, 2),
                deadline_ms=worker.lease_deadline_ms,
                clock_ms=worker.clock_ms,
                clock_age_s=round(now_s - worker.clock_received_s, 2),
            )
        worker.expiry_logged = True
        for run in ended:
            self.record_end(run, END_EXPIRED, "")

    def begin_incarnation(self, worker: Worker, now_s: float) -> None:
        """Replace a restarted worker and hand its open runs over."""
        successor = self.add_worker(self.state.registry[worker.id], now_s)
        for run in worker.hand_over_runs(successor):
            self.orders.await_report(run, now_s)

    def is_removable(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker needs no more polls."""
        if worker.poll_in_flight or worker.orders_in_flight:
            return False
        if worker.immediate_poll_in_flight:
            return False
        if worker.terminated:
            return True
        if worker.runs:
            return False
        silent = worker.failed_polls > 3 and self.state.has_expired(worker)
        return not worker.in_registry and silent
