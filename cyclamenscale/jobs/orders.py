"""Orders to start, stop and pace runs, and what their answers mean.

A start without an answer may still be carried out, seconds later too. The
same start is sent again; if that has no answer either, the run is stopped,
after which the worker refuses it for good.
"""

from concurrent.futures import Future

from cyclamenscale.errors import CallError, CallNotSentError
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
    DOUBTFUL,
    RUNNING,
    STARTING,
    STOPPING,
    Run,
    Worker,
)

#: Pause before a worker that refused a start gets the next.
BLOCK_S = 0.25

#: Longer pause after an answer that says the worker is unhealthy.
UNHEALTHY_S = 1.0

#: A refused run number is followed by one that is this much higher.
OLD_RUN_GAP = 16


class Orders:
    """Sends orders and keeps the beliefs in line with the answers.

    :param state: shared knowledge.
    :param calls: the workers.
    """

    def __init__(self, state: State, calls: WorkerCalls):
        """Start without orders in flight."""
        self.state = state
        self.calls = calls

    def deadline_ms(self, worker: Worker) -> int:
        """Return the end of a hold that is given now, and note it."""
        hold_ms = self.state.hold_s * 1000
        deadline_ms = int(worker.now_ms(self.state.clock()) + hold_ms)
        worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
        return worker.deadline_ms

    def start(
        self, worker: Worker, task: Task, number: int, ticket: str = ""
    ) -> Run:
        """Start a task on a worker that has room for it."""
        state = self.state
        run = Run(task.name, number, task, worker, state.clock())
        worker.add(run)
        task.runs.append(run)
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        if task.job.mark_running():
            age_ms = (state.clock() - task.job.accepted_s) * 1000
            state.metrics.timing("jobs.first_start_ms", age_ms)
        state.events.note(
            "task.start",
            task=task.name,
            run=number,
            worker=worker.id,
            pool=worker.entry.pool,
            used=worker.used.processors,
            look_age_s=round(state.clock() - worker.answered_s, 3),
            fence=state.term.fence,
        )
        state.metrics.incr("jobs.starts")
        self.send_start(run, ticket)
        return run

    def send_start(self, run: Run, ticket: str = "") -> None:
        """Send a start, the first time or again."""
        task, worker = run.task, run.worker
        order = StartOrder(
            run.name,
            run.number,
            task.job.record.spec.payload,
            self.deadline_ms(worker),
            self.state.term.fence,
            task.checkpoint,
            ticket,
        )
        run.in_flight = True
        run.tries += 1
        worker.orders_in_flight += 1
        answer = self.calls.start(worker.entry, order)
        answer.add_done_callback(lambda done: self.start_answered(run, done))

    def start_answered(self, run: Run, done: Future) -> None:
        """Take the answer to a start."""
        run.in_flight = False
        worker = run.worker
        worker.orders_in_flight -= 1
        error = done.exception()
        if error:
            self.start_unanswered(run, error)
            return
        answer: OrderResponse = done.result()
        worker.note_clock(answer.clock_ms, self.state.clock())
        if answer.accepted:
            if run.phase in (STARTING, DOUBTFUL):
                run.phase = RUNNING
            run.confirmed_ms = max(run.confirmed_ms, answer.clock_ms)
            run.tries = 0
            self.state.metrics.incr("jobs.starts_accepted")
        else:
            self.start_refused(run, answer.reason)

    def start_unanswered(self, run: Run, error: CallError) -> None:
        """Decide on a start that had no answer.

        One lost answer does not make a worker silent; a probe tells.
        """
        state, worker = self.state, run.worker
        worker.ask_probe(state.clock())
        state.metrics.incr("jobs.starts_unanswered")
        state.events.note(
            "task.start_unanswered",
            task=run.name,
            run=run.number,
            worker=worker.id,
            reason=error.reason,
            tries=run.tries,
        )
        if run.key not in worker.runs:
            return
        if isinstance(error, CallNotSentError) and run.tries == 1:
            self.drop(run)
        elif run.phase == STARTING:
            run.phase = DOUBTFUL

    def start_refused(self, run: Run, reason: str) -> None:
        """Decide on a start that the worker refused."""
        state, worker = self.state, run.worker
        now_s = state.clock()
        state.metrics.incr("jobs.starts_refused")
        state.events.note(
            "task.start_refused",
            task=run.name,
            run=run.number,
            worker=worker.id,
            reason=reason,
        )
        if reason == "fence":
            state.deposed = f"worker {worker.id} has seen a higher fence"
        elif reason == "old" and run.task:
            job = run.task.job
            job.highest_run = max(job.highest_run, run.number + OLD_RUN_GAP)
        elif reason == "other_life":
            worker.gone = True
        elif reason == "unhealthy":
            worker.blocked_until_s = now_s + UNHEALTHY_S
            worker.demerits += 1
        elif reason == "bad" and run.task:
            task = run.task
            self.drop(run)
            task.job.record_end(task, run.number, END_FAILED, "")
            return
        else:
            worker.blocked_until_s = now_s + BLOCK_S
        self.drop(run)

    def drop(self, run: Run) -> None:
        """Drop a run that has not taken place and never will."""
        task = run.task
        run.worker.remove(run)
        if task and not task.runs and not task.done:
            task.job.requeue(task)
        self.stop_gang(run)
        self.state.touch()

    def stop_gang(self, run: Run) -> None:
        """Stop the other members of a gang's run that can't take place.

        They would wait for the missing one until their time is over.
        """
        if not run.task or not run.task.step.spec.gang:
            return
        for task in run.task.step.tasks:
            for member in list(task.runs):
                if member.number == run.number and member is not run:
                    self.stop(member, "a member of its gang is missing")

    def stop(self, run: Run, why: str) -> None:
        """Stop a run; it counts until its end is listed."""
        if run.phase == STOPPING:
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
        """Send a stop, the first time or again."""
        order = StopOrder(run.name, run.number, self.state.term.fence)
        run.in_flight = True
        run.tries += 1
        run.worker.orders_in_flight += 1
        answer = self.calls.stop(run.worker.entry, order)
        answer.add_done_callback(lambda done: self.stop_answered(run, done))

    def stop_answered(self, run: Run, done: Future) -> None:
        """Take the answer to a stop."""
        run.in_flight = False
        worker = run.worker
        worker.orders_in_flight -= 1
        error = done.exception()
        if error:
            worker.ask_probe(self.state.clock())
            return
        answer: OrderResponse = done.result()
        worker.note_clock(answer.clock_ms, self.state.clock())
        if answer.accepted:
            # From here on the run is either shown or gone for good.
            run.confirmed_ms = max(run.confirmed_ms, answer.clock_ms, 1)
            run.tries = -1
            worker.look_due_s = self.state.clock()
        elif answer.reason == "fence":
            self.state.deposed = f"worker {worker.id} has seen a higher fence"
        elif answer.reason == "other_life":
            worker.gone = True

    def pace(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed."""
        run.paced = percent
        order = ThrottleOrder(
            run.name, run.number, percent, self.state.term.fence
        )
        answer = self.calls.throttle(run.worker.entry, order)

        def answered(done: Future) -> None:
            if done.exception() or not done.result().accepted:
                # An unknown share is sent again by the next decision.
                run.paced = -1
                self.state.metrics.incr("jobs.paces_failed")

        answer.add_done_callback(answered)

    def repeat(self, now_s: float) -> None:
        """Send orders again that had no answer."""
        for worker in self.state.workers.values():
            if worker.gone:
                continue
            for run in list(worker.runs.values()):
                if run.in_flight:
                    continue
                if run.phase == DOUBTFUL:
                    if run.tries < 2 and self.state.may_start():
                        self.send_start(run)
                    else:
                        self.stop(run, "start had no answer")
                elif run.phase == STOPPING and run.tries >= 0:
                    self.send_stop(run)
