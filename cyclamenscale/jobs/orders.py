"""Sends orders to start, stop and throttle runs; handles the responses.

A start without a response may have been carried out, or may still be, even
seconds later. A poll shows whether the worker can be reached and has the run.
If it lacks the run, the same start is sent once more, and if that has no
response either, the run is stopped, after which the worker refuses to start
it. Nothing is repeated to a worker that does not respond to polls. A refusal
applies to one sending only: an earlier one may still be carried out.
"""

from collections.abc import Callable
from concurrent.futures import Future

from cyclamenscale.errors import CallError, CallNotSentError
from cyclamenscale.jobs.flow_control import StartWindow
from cyclamenscale.jobs.model import END_FAILED
from cyclamenscale.jobs.ports import (
    OrderResponse,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerCalls,
)
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import Task
from cyclamenscale.jobs.worker import (
    MAX_START_TRIES,
    RUNNING,
    STARTING,
    STOPPING,
    UNCONFIRMED,
    Run,
    Worker,
)

#: Time without further starts on a worker that refused one.
REFUSED_PAUSE_S = 0.25

#: Time without starts on a worker that refused one as unhealthy.
UNHEALTHY_PAUSE_S = 1.0

#: Run numbers skipped after a worker refused one as too old.
RUN_NUMBER_GAP = 16


class WorkerOrders:
    """Sends orders to workers and updates their runs from the responses.

    :param state: shared state of the term.
    :param calls: calls to the workers.
    :ivar window: limit on the starts in flight to all workers.
    :ivar discard_ticket: called with a task and the worker that rejected its
        ticket.
    """

    def __init__(self, state: State, calls: WorkerCalls):
        """Initialise with no orders in flight."""
        self.state = state
        self.calls = calls
        self.window = StartWindow()
        self.discard_ticket: Callable[[Task, Worker], None] = (
            lambda task, worker: None
        )

    def extend_lease(self, worker: Worker) -> int:
        """Extend the lease of a worker's runs and return its deadline.

        The lease may already be longer, which a deadline never shortens.
        Asking for that longer one would make it hold, also for runs that
        have just begun, and a successor waits only for the usual one.
        """
        now_s = self.state.clock()
        lease_ms = self.state.task_lease_s * 1000
        deadline_ms = int(worker.min_clock_ms(now_s) + lease_ms)
        worker.lease_extended_s = now_s
        worker.lease_deadline_ms = max(worker.lease_deadline_ms, deadline_ms)
        return deadline_ms

    def start(
        self, worker: Worker, task: Task, number: int, ticket: str = ""
    ) -> Run:
        """Start a task on a worker that has the capacity for it."""
        state = self.state
        run = Run(task.name, number, task, worker, state.clock())
        run.ticket = ticket
        worker.add_run(run)
        task.runs.append(run)
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        task.job.mark_start_sent()
        state.events.note(
            "task.start",
            task=task.name,
            run=number,
            worker=worker.id,
            pool=worker.record.pool,
            used=worker.allocated.processors,
            look_age_s=round(state.clock() - worker.last_response_s, 3),
            fence=state.term.fence,
        )
        state.metrics.incr("jobs.starts")
        self.send_start(run)
        return run

    def send_start(self, run: Run) -> None:
        """Send a start for the first time or again."""
        task, worker = run.task, run.worker
        order = StartOrder(
            run.name,
            run.number,
            task.job.record.spec.payload,
            self.extend_lease(worker),
            self.state.term.fence,
            task.checkpoint,
            run.ticket,
        )
        run.in_flight = True
        run.tries += 1
        repeated = run.tries > 1
        worker.orders_in_flight += 1
        sent_s = self.state.clock()
        self.window.record_sent()
        call = self.calls.start(worker.record, order)
        call.add_done_callback(lambda done: self.adapt_window(sent_s, done))
        call.add_done_callback(
            lambda done: self.handle_start_response(run, repeated, done)
        )

    def record_begun(self, task: Task) -> None:
        """Record that a worker has begun a task."""
        job = task.job
        if job.mark_running():
            age_ms = (self.state.clock() - job.accepted_s) * 1000
            self.state.metrics.timing("jobs.first_start_ms", age_ms)

    def record_clock(self, worker: Worker, response: OrderResponse) -> bool:
        """Record the clock in a response to an order.

        :returns: whether the response may be from the incarnation that the
            order was meant for. If it is not, the order may have given the
            later one a lease of any length.
        """
        now_s = self.state.clock()
        if worker.is_plausible_clock(response.clock_ms, now_s):
            worker.record_clock(response.clock_ms, now_s)
            return True
        self.state.events.note(
            "worker.other_clock",
            worker=worker.id,
            clock_ms=response.clock_ms,
            known_ms=worker.clock_ms,
            known_age_s=round(now_s - worker.clock_received_s, 3),
        )
        worker.foreign_lease_until_s = max(
            worker.foreign_lease_until_s, now_s + self.state.longest_lease_s
        )
        worker.request_immediate_poll(now_s)
        return False

    def adapt_window(self, sent_s: float, done: Future) -> None:
        """Adapt the window to the time that a start's response took."""
        now_s = self.state.clock()
        if self.window.is_full:
            # Tasks may be waiting for the window alone.
            self.state.mark_changed()
        if done.exception():
            self.window.record_unanswered(now_s)
        else:
            self.window.record_response(now_s - sent_s, now_s)

    def handle_start_response(
        self, run: Run, repeated: bool, done: Future
    ) -> None:
        """Handle the response to a start.

        :param repeated: whether an earlier sending had no response.
        """
        run.in_flight = False
        worker = run.worker
        worker.orders_in_flight -= 1
        error = done.exception()
        if error:
            self.handle_lost_start_response(run, repeated, error)
            return
        response: OrderResponse = done.result()
        now_s = self.state.clock()
        if response.resent:
            worker.record_unanswered_start(run.key, now_s)
        from_addressee = self.record_clock(worker, response)
        if run.tries == 1:
            took_ms = (now_s - run.started_s) * 1000
            self.state.metrics.timing("jobs.start_response_ms", took_ms)
        if response.accepted:
            overtaken = 0 < response.clock_ms < worker.reported_ms
            if not from_addressee or (overtaken and not run.confirmed_ms):
                # The worker has restarted, or a report that lacks the run
                # has overtaken the response. The next report tells.
                self.await_report(run, now_s)
                return
            if run.phase in (STARTING, UNCONFIRMED):
                run.phase = RUNNING
            if run.task:
                self.record_begun(run.task)
            run.confirmed_ms = max(run.confirmed_ms, response.clock_ms)
            run.tries = 0
            self.state.metrics.incr("jobs.starts_accepted")
        else:
            repeated = repeated or response.resent
            self.handle_refused_start(run, repeated, response)

    def await_report(self, run: Run, now_s: float) -> None:
        """Treat an order like one without a response."""
        run.unanswered_s = now_s
        run.worker.request_immediate_poll(now_s)
        if run.phase in (STARTING, RUNNING):
            run.phase = UNCONFIRMED

    def handle_lost_start_response(
        self, run: Run, repeated: bool, error: CallError
    ) -> None:
        """Handle a start that had no response.

        One lost response does not mean that the worker is unreachable; an
        immediate poll shows whether it is.

        :param repeated: whether an earlier sending had no response.
        """
        state, worker = self.state, run.worker
        run.unanswered_s = state.clock()
        worker.request_immediate_poll(run.unanswered_s)
        state.metrics.incr("jobs.starts_unanswered")
        state.events.note(
            "task.start_unanswered",
            task=run.name,
            run=run.number,
            worker=worker.id,
            reason=error.reason,
            tries=run.tries,
        )
        if not isinstance(error, CallNotSentError):
            worker.record_unanswered_start(run.key, run.unanswered_s)
        if run.key not in worker.runs:
            return
        if isinstance(error, CallNotSentError) and not repeated:
            self.drop_run(run)
        elif run.phase == STARTING:
            run.phase = UNCONFIRMED

    def handle_refused_start(
        self, run: Run, repeated: bool, response: OrderResponse
    ) -> None:
        """Handle a start that the worker refused.

        :param repeated: whether the worker may have had an earlier copy.
        """
        state, worker, reason = self.state, run.worker, response.reason
        now_s = state.clock()
        state.metrics.incr("jobs.starts_refused")
        state.events.note(
            "task.start_refused",
            task=run.name,
            run=run.number,
            worker=worker.id,
            reason=reason,
            tries=run.tries,
            sent_age_s=round(now_s - run.started_s, 3),
            repeated=repeated,
        )
        if reason == "fence":
            state.superseded = f"worker {worker.id} has seen a higher fence"
        elif reason == "other_life":
            worker.terminated = True
        elif reason == "unhealthy":
            worker.blocked_until_s = now_s + UNHEALTHY_PAUSE_S
            worker.consecutive_failures += 1
        elif reason not in ("old", "bad"):
            if reason == "ticket" and run.task:
                self.discard_ticket(run.task, worker)
            worker.blocked_until_s = now_s + REFUSED_PAUSE_S
        if run.key not in worker.runs:
            return
        if reason == "old":
            self.await_end(run, response.clock_ms)
        elif run.confirmed_ms:
            # The worker has it from an earlier sending; reports tell more.
            return
        elif repeated and reason not in ("fence", "other_life"):
            self.stop(run, "start was refused after one without an answer")
        else:
            self.drop_run(run)
            if reason == "bad" and run.task:
                run.task.job.record_end(run.task, run.number, END_FAILED, "")

    def await_end(self, run: Run, clock_ms: int) -> None:
        """Keep a run that the worker has refused as too old.

        It is not running and never will be, but it may have ended, also if
        it was sent once: the HTTP client may repeat a request. A later
        report lists its end or proves that there was none.

        :param clock_ms: the worker's clock at the refusal.
        """
        if run.task:
            job = run.task.job
            job.highest_run = max(job.highest_run, run.number + RUN_NUMBER_GAP)
        run.phase = STOPPING
        run.tries = -1
        run.confirmed_ms = max(run.confirmed_ms, clock_ms, 1)
        run.worker.request_immediate_poll(self.state.clock())
        self.stop_gang(run)

    def drop_run(self, run: Run) -> None:
        """Drop a run that was not started and never will be."""
        task = run.task
        run.worker.remove_run(run)
        if task and not task.runs and not task.done:
            task.job.requeue(task)
        self.stop_gang(run)
        self.state.mark_changed()

    def stop_gang(self, run: Run) -> None:
        """Stop the other members of a gang run that is incomplete.

        They would wait for the missing member until they time out.
        """
        if not run.task or not run.task.step.spec.gang:
            return
        for task in run.task.step.tasks:
            for member in list(task.runs):
                if member.number == run.number and member is not run:
                    self.stop(member, "a member of its gang is missing")

    def stop(self, run: Run, why: str) -> None:
        """Stop a run; it is kept until its end is certain.

        After the term its successor decides, also about runs on workers that
        have not seen the successor's fence yet.
        """
        if run.phase == STOPPING or self.state.superseded:
            return
        run.phase = STOPPING
        run.tries = 0
        self.state.events.note(
            "task.stop",
            task=run.name,
            run=run.number,
            worker=run.worker.id,
            why=why,
        )
        self.state.metrics.incr("jobs.stops")
        self.send_stop(run)
        self.stop_gang(run)

    def send_stop(self, run: Run) -> None:
        """Send a stop for the first time or again."""
        order = StopOrder(run.name, run.number, self.state.term.fence)
        run.in_flight = True
        run.tries += 1
        run.worker.orders_in_flight += 1
        call = self.calls.stop(run.worker.record, order)
        call.add_done_callback(
            lambda done: self.handle_stop_response(run, done)
        )

    def handle_stop_response(self, run: Run, done: Future) -> None:
        """Handle the response to a stop."""
        run.in_flight = False
        worker = run.worker
        worker.orders_in_flight -= 1
        now_s = self.state.clock()
        error = done.exception()
        if error:
            run.unanswered_s = now_s
            worker.request_immediate_poll(now_s)
            return
        response: OrderResponse = done.result()
        from_addressee = self.record_clock(worker, response)
        if response.accepted:
            overtaken = 0 < response.clock_ms < worker.reported_ms
            if not from_addressee or (overtaken and not run.confirmed_ms):
                # As for a start; the stop is repeated after the report.
                self.await_report(run, now_s)
                return
            # A later report lists the run, unless it has ended.
            run.confirmed_ms = max(run.confirmed_ms, response.clock_ms, 1)
            run.tries = -1
            worker.poll_due_s = self.state.clock()
        elif response.reason == "fence":
            self.state.superseded = (
                f"worker {worker.id} has seen a higher fence"
            )
        elif response.reason == "other_life":
            worker.terminated = True
        else:
            # The worker has done nothing; it may take the stop later.
            run.unanswered_s = now_s + REFUSED_PAUSE_S

    def throttle(self, run: Run, percent: int) -> None:
        """Throttle a run to a percentage of its full speed."""
        run.throttle_percent = percent
        order = ThrottleOrder(
            run.name, run.number, percent, self.state.term.fence
        )
        call = self.calls.throttle(run.worker.record, order)

        def handle_response(done: Future) -> None:
            if done.exception() or not done.result().accepted:
                # An unknown percentage is set again later.
                run.throttle_percent = -1
                self.state.metrics.incr("jobs.paces_failed")

        call.add_done_callback(handle_response)

    def may_repeat(self, run: Run) -> bool:
        """Return whether the start of a run may still be sent again."""
        record, task = run.worker.record, run.task
        return bool(
            task
            and self.state.may_start()
            and run.worker.in_registry
            and record.pool == task.job.queue.pool
            and not record.leaving
            and not run.worker.cordon_reason
        )

    def resend_unanswered(self, now_s: float) -> None:
        """Repeat orders without a response; stop runs left unconfirmed."""
        for worker in self.state.workers.values():
            if worker.terminated:
                continue
            for run in list(worker.runs.values()):
                if run.in_flight or run.phase not in (UNCONFIRMED, STOPPING):
                    continue
                if worker.fence_confirmed_s <= run.unanswered_s:
                    if now_s >= run.unanswered_s:
                        worker.request_immediate_poll(now_s)
                elif run.phase == UNCONFIRMED:
                    if run.tries < MAX_START_TRIES and self.may_repeat(run):
                        self.send_start(run)
                    else:
                        self.stop(run, "start had no answer")
                elif run.phase == STOPPING and run.tries >= 0:
                    self.send_stop(run)
