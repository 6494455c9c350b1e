"""Planned outages of the pools that this entry controls.

All persistent state is in ``budget/POOL`` and in the instance records, so a
controller can stop after any call and another one continues from there.
"""

from random import Random

from cyclamenscale.errors import (
    NotFoundError,
    PlatformUnavailableError,
    StaleFenceError,
    StoreError,
)
from cyclamenscale.fleet.budget import (
    EXCLUDING,
    PROBING,
    REBOOTING,
    WAITING,
    BudgetRecord,
    BudgetUse,
    Outage,
    budget_use,
)
from cyclamenscale.fleet.drain import (
    Advance,
    Finish,
    ObservedState,
    Reboot,
    action_id,
    next_action,
)
from cyclamenscale.fleet.mover import Mover
from cyclamenscale.fleet.outages import (
    ControllerContext,
    LoadedBudget,
    load_budget,
)
from cyclamenscale.fleet.ports import Platform, PlatformInstance
from cyclamenscale.fleet.rollout import ROLLOUT_POLICIES, Candidate, candidates
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    ConfigView,
    InstanceRecord,
)
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import decode_record, encode_record

#: Compared classes and instances. The store accepts 128 comparisons in a
#: transaction; the rest are for the budget, the control key and the instance
#: itself.
COMPARES_LIMIT = 120

#: Outages started in one transaction; further ones start in the next tick.
STARTS_LIMIT = 32


class PoolController:
    """Starts the planned outages of a pool and carries out their steps.

    Not thread-safe: one component calls :meth:`tick`.

    :param settings: settings of the entry.
    :param store: store of the budgets and instance records.
    :param platform: platform that lists and reboots the instances.
    :param context: interface to the rest of the entry.
    :param metrics: metrics of the entry.
    :param wall_clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        platform: Platform,
        context: ControllerContext,
        metrics: Metrics,
        wall_clock: Clock,
    ):
        """Select the roll-out policy and create the mover."""
        self.settings = settings.fleet
        self.store = store
        self.platform = platform
        self.context = context
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.policy = ROLLOUT_POLICIES[self.settings.rollout]
        self.mover = Mover(
            settings, store, context, metrics, wall_clock, Random()
        )

    def tick(self, pool: str, fence: int) -> None:
        """Advance the outages of one pool, then start moves and outages.

        :param pool: name of the pool.
        :param fence: fencing token of the pool's control key.
        """
        try:
            listed = {
                each.name: each for each in self.platform.list_instances()
            }
            loaded = self.load(pool, fence)
            for outage in loaded.record.outages:
                loaded = self.advance_until_blocked(loaded, outage, listed)
            if self.mover.record_demand(loaded, listed):
                loaded = self.load(pool, fence)
            if self.start_move(loaded, listed):
                loaded = self.load(pool, fence)
            self.start_outages(loaded, listed)
        except StoreError:
            self.metrics.incr("controller.store_errors")
        except PlatformUnavailableError:
            self.metrics.incr("controller.platform_errors")
        except StaleFenceError:
            self.metrics.incr("controller.stale_fence")

    def load(self, pool: str, fence: int) -> LoadedBudget:
        """Read a pool's budget record."""
        return load_budget(self.store, pool, fence)

    def advance_until_blocked(
        self,
        loaded: LoadedBudget,
        outage: Outage,
        listed: dict[str, PlatformInstance],
    ) -> LoadedBudget:
        """Carry out the steps of one outage until it has to wait.

        An outage whose step stays the same is left to the next tick, so
        that a failing probe is tried once per tick.

        :returns: the pool's budget after the last step.
        """
        step = ""
        while outage and outage.step != step:
            step = outage.step
            if not self.advance(loaded, outage, listed):
                break
            loaded = self.load(loaded.pool, loaded.fence)
            outage = loaded.record.outage_of(outage.instance)
        return loaded

    def advance(
        self,
        loaded: LoadedBudget,
        outage: Outage,
        listed: dict[str, PlatformInstance],
    ) -> bool:
        """Carry out the next action of one outage.

        :returns: whether the budget record was changed.
        """
        observed = self.observe(loaded.pool, outage, listed)
        action = next_action(loaded.pool, outage, observed)
        leaves_pool = outage.purpose == "move" and not outage.joining
        if (
            isinstance(action, Advance)
            and leaves_pool
            and outage.step == WAITING
        ):
            return self.mover.transfer_instance(loaded, outage)
        if isinstance(action, Advance):
            return self.record_step(loaded, outage, action.outage)
        if isinstance(action, Finish):
            return self.finish_outage(loaded, outage)
        if isinstance(action, Reboot):
            self.platform.reboot(
                outage.instance, action.version, action.action_id, loaded.fence
            )
        return False

    def observe(
        self,
        pool: str,
        outage: Outage,
        listed: dict[str, PlatformInstance],
    ) -> ObservedState:
        """Collect the observed state on which the outage's step depends."""
        if outage.step == EXCLUDING:
            return ObservedState(
                in_force=self.excluded_everywhere(outage.instance)
            )
        try:
            status = self.platform.status(outage.instance)
        except NotFoundError:
            return ObservedState()
        if outage.step == PROBING:
            listing = listed.get(outage.instance)
            healthy = bool(
                status.running and listing and self.context.probe(listing)
            )
            return ObservedState(probe=healthy, version=status.version)
        if outage.step == REBOOTING:
            done = status.last_action == action_id(pool, outage)
            return ObservedState(rebooted=done and status.running)
        entries = self.context.in_progress(outage.instance)
        if entries is None:
            return ObservedState()
        return ObservedState(in_progress=max(entries, status.in_progress))

    def excluded_everywhere(self, instance: str) -> bool:
        """Return whether no entry sends new requests to an instance.

        The outage and the instance's record are written in one transaction,
        so the revision of the record is the revision of the exclusion.
        """
        member = self.context.view().instances.get(instance)
        if member is None or member.state == "live":
            return False
        revision = self.context.revision_of(INSTANCE_PREFIX + instance)
        self.context.announce(revision)
        return self.context.in_force(revision)

    def record_step(
        self, loaded: LoadedBudget, before: Outage, after: Outage
    ) -> bool:
        """Write the next step of an outage.

        If a probe has failed and the pool has got another target version,
        the outage reboots the instance with that version.

        :returns: whether the budget record was changed.
        """
        pool = self.context.view().pools.get(loaded.pool)
        record = loaded.record
        if after.failed_probes > before.failed_probes:
            retarget = bool(
                pool
                and after.purpose == "version"
                and pool.version != after.target
            )
            if retarget:
                after = after._replace(
                    step=REBOOTING,
                    target=pool.version,
                    started_s=self.wall_clock(),
                    failed_probes=0,
                )
            record = self.halt_failing_rollout(loaded.pool, record, after)
        if after == before:
            return False
        put = loaded.put(record.with_outage(after))
        written = self.store.txn(loaded.compares, [put]).succeeded
        self.metrics.incr(
            "controller.steps" if written else "controller.conflicts"
        )
        return written

    def halt_failing_rollout(
        self, pool: str, record: BudgetRecord, outage: Outage
    ) -> BudgetRecord:
        """Halt a roll-out when an instance reaches the failed probes limit.

        :returns: the record with the version marked as halted, or unchanged.
        """
        limit = self.settings.failed_probes_limit
        if outage.purpose != "version" or outage.failed_probes < limit:
            return record
        if record.halted_version == outage.target:
            return record
        reason = (
            f"instance {outage.instance} failed {outage.failed_probes} "
            f"health probes with version {outage.target}"
        )
        self.metrics.incr("controller.rollouts_halted")
        self.context.decided("rollout_halted", pool, reason, outage._asdict())
        return record._replace(
            halted_version=outage.target, halted_reason=reason
        )

    def finish_outage(self, loaded: LoadedBudget, outage: Outage) -> bool:
        """Return an instance to service and end its outage.

        :returns: whether the records were changed.
        """
        key = INSTANCE_PREFIX + outage.instance
        _, found = self.store.get(key)
        if found is None:
            put = loaded.put(loaded.record.without_outage(outage.instance))
            return self.store.txn(loaded.compares, [put]).succeeded
        member = decode_record(found.value, InstanceRecord, key)
        returned = member._replace(
            state="live", maintained_s=self.wall_clock()
        )
        result = self.store.txn(
            [*loaded.compares, Compare(key, found.mod_revision)],
            [
                loaded.put(loaded.record.without_outage(outage.instance)),
                Put(key, encode_record(returned)),
            ],
        )
        if result.succeeded:
            self.metrics.incr("controller.outages_ended")
            self.context.announce(result.revision)
            self.context.decided(
                "outage_ended",
                outage.instance,
                "the instance passed its health probe",
                outage._asdict(),
            )
        return result.succeeded

    def start_move(
        self, loaded: LoadedBudget, listed: dict[str, PlatformInstance]
    ) -> bool:
        """Start the move of one surplus instance to another pool, if any.

        :returns: whether the records were changed.
        """
        view = self.context.view()
        pool = view.pools.get(loaded.pool)
        if pool is None or not self.context.may_admit():
            return False
        if not self.mover.check_surplus(loaded):
            return False
        members = [
            each for each in view.instances.values() if each.pool == pool.name
        ]
        classes = [
            each for each in view.classes.values() if each.pool == pool.name
        ]
        use = budget_use(
            members, classes, loaded.record, self.out_of_service(pool, listed)
        )
        return self.mover.start_move(loaded, listed, use)

    def start_outages(
        self, loaded: LoadedBudget, listed: dict[str, PlatformInstance]
    ) -> None:
        """Start the outages that the budget admits."""
        view = self.context.view()
        pool = view.pools.get(loaded.pool)
        # A stale view may not contain a target that was lowered.
        if pool is None or not self.context.may_admit():
            return
        members = [
            each for each in view.instances.values() if each.pool == pool.name
        ]
        classes = [
            each for each in view.classes.values() if each.pool == pool.name
        ]
        waiting = candidates(
            pool,
            members,
            listed,
            loaded.record,
            self.wall_clock(),
            self.context.long_work(pool.name),
        )
        if not waiting:
            return
        use = budget_use(
            members, classes, loaded.record, self.out_of_service(pool, listed)
        )
        self.metrics.gauge(f"controller.out.{pool.name}", len(use.out))
        busy_domains = {
            listed[each.instance].data_centre
            for each in loaded.record.outages
            if each.instance in listed
        }
        chosen = []
        for each in self.policy(waiting, use, busy_domains):
            if use.admits(each.instance):
                use = use._replace(out=use.out | {each.instance})
                chosen.append(each)
        decision_keys = [CLASS_PREFIX + each.name for each in classes]
        decision_keys += [INSTANCE_PREFIX + each.name for each in members]
        if chosen:
            self.write_outages(loaded, view, decision_keys, chosen, use)

    def out_of_service(
        self, pool, listed: dict[str, PlatformInstance]
    ) -> set[str]:
        """Return the instances that are missing, leaving or unavailable."""
        members = {
            name
            for name, each in self.context.view().instances.items()
            if each.pool == pool.name
        }
        missing_or_leaving = {
            name
            for name in members
            if name not in listed or listed[name].leaving
        }
        return missing_or_leaving | (
            set(self.context.unavailable(pool.name)) & members
        )

    def write_outages(
        self,
        loaded: LoadedBudget,
        view: ConfigView,
        decision_keys: list[str],
        chosen: list[Candidate],
        use: BudgetUse,
    ) -> None:
        """Write the start of outages, unless a compared record has changed.

        :param loaded: budget of the pool as read.
        :param view: configuration on which the decision is based.
        :param decision_keys: keys of the classes and instances on which the
            decision is based, classes first. At most :data:`COMPARES_LIMIT`
            keys are compared, those of the chosen instances before others.
        :param chosen: instances whose outages start.
        :param use: use of the budget with the chosen instances out.
        """
        record = loaded.record
        puts = []
        for each in chosen[:STARTS_LIMIT]:
            outage = Outage(
                each.instance,
                each.purpose,
                EXCLUDING,
                self.wall_clock(),
                target=each.target,
            )
            record = record.with_outage(outage)
            member = view.instances[each.instance]
            draining = encode_record(member._replace(state="draining"))
            puts.append(Put(INSTANCE_PREFIX + each.instance, draining))
        written = [put.key for put in puts]
        others = [key for key in decision_keys if key not in written]
        compared = written + others[: COMPARES_LIMIT - len(written)]
        compares = loaded.compares + [
            Compare(key, self.context.revision_of(key)) for key in compared
        ]
        result = self.store.txn(compares, [loaded.put(record), *puts])
        if not result.succeeded:
            self.metrics.incr("controller.conflicts")
            return
        self.metrics.incr("controller.outages_started", len(puts))
        self.context.announce(result.revision)
        for each in chosen[:STARTS_LIMIT]:
            self.context.decided(
                "outage_started",
                each.instance,
                f"{each.purpose}: {len(use.out)} of {use.allowed} out",
                each._asdict(),
            )
