"""Moves of instances between pools, for the pool controllers.

:mod:`cyclamenscale.fleet.moves` plans the moves. This module records the
demand, publishes in the budget record how many instances a pool wants, and
writes the start of a move and the change of pool.
"""

from random import Random

from cyclamenscale.fleet.budget import (
    BUDGET_PREFIX,
    EXCLUDING,
    REBOOTING,
    BudgetRecord,
    BudgetUse,
    MoveRecord,
    Outage,
    allowed_out,
)
from cyclamenscale.fleet.moves import (
    DemandEnvelope,
    PoolState,
    max_wait_s,
    plan_moves,
    recent_moves,
    wanted_instances,
)
from cyclamenscale.fleet.outages import (
    ControllerContext,
    LoadedBudget,
    decode_budget,
    load_budget,
)
from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    POOL_PREFIX,
    InstanceRecord,
    RequestClass,
)
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import decode_record, encode_record

#: Seconds between decisions on the size and the moves of a pool. A decision
#: on moves reads all budget records, and wanted sizes change over minutes.
DECISION_INTERVAL_S = 10.0

#: Slots assumed per instance while the platform lists none of the pool.
DEFAULT_SLOTS = 8.0

#: Compared classes and members of the donor. The store accepts 128
#: comparisons in a transaction.
COMPARES_LIMIT = 110


class Mover:
    """Records demand, starts moves and changes an instance's pool.

    :param settings: settings of the entry.
    :param store: store of the budgets and instance records.
    :param context: interface to the rest of the entry.
    :param metrics: metrics of the entry.
    :param wall_clock: returns seconds since the epoch.
    :param rng: breaks ties between pools.

    :ivar envelopes: time of the first sample and demand envelope, by pool.
    :ivar last_decision_s: time of the last check for surplus, by pool.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        context: ControllerContext,
        metrics: Metrics,
        wall_clock: Clock,
        rng: Random,
    ):
        """Initialise without demand envelopes."""
        self.settings = settings.fleet
        self.store = store
        self.context = context
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.rng = rng
        self.envelopes: dict[str, tuple[float, DemandEnvelope]] = {}
        self.last_decision_s: dict[str, float] = {}

    def classes(self, pool: str) -> tuple[RequestClass, ...]:
        """Return the request classes of a pool."""
        found = self.context.view().classes.values()
        return tuple(each for each in found if each.pool == pool)

    def record_demand(
        self, loaded: LoadedBudget, listed: dict[str, PlatformInstance]
    ) -> bool:
        """Record the demand and publish how many instances a pool wants.

        An entry that has just taken over a pool has few samples, so until
        they span the whole window it can only raise a published number.

        :returns: whether the budget record was changed.
        """
        pool, now_s = loaded.pool, self.wall_clock()
        demand = self.context.demand(pool)
        if demand is None:
            self.envelopes.pop(pool, None)
            return False
        if pool not in self.envelopes:
            self.envelopes[pool] = (now_s, DemandEnvelope(self.settings))
        first_sample_s, envelope = self.envelopes[pool]
        classes = self.classes(pool)
        envelope.record(demand, now_s, max_wait_s(classes))
        if not self.decision_due(pool, now_s):
            return False
        slots = [
            listed[name].slots
            for name, each in self.context.view().instances.items()
            if each.pool == pool and name in listed
        ]
        mean_slots = sum(slots) / len(slots) if slots else DEFAULT_SLOTS
        wanted = wanted_instances(
            envelope, classes, mean_slots or DEFAULT_SLOTS, self.settings
        )
        published = loaded.record.wanted
        if wanted is None or wanted == published:
            return False
        window_full = now_s - first_sample_s >= self.settings.envelope_s
        if not window_full and (published is None or wanted < published):
            return False
        put = loaded.put(loaded.record._replace(wanted=wanted))
        return self.store.txn(loaded.compares, [put]).succeeded

    def decision_due(self, pool: str, now_s: float) -> bool:
        """Return whether the decision interval of a pool has passed."""
        return (
            now_s - self.last_decision_s.get(pool, 0.0) >= DECISION_INTERVAL_S
        )

    def check_surplus(self, loaded: LoadedBudget) -> bool:
        """Return whether a pool has more instances than it wants.

        Checks once per decision interval and returns False in between.
        """
        now_s = self.wall_clock()
        pool = loaded.pool
        if not self.decision_due(pool, now_s):
            return False
        self.last_decision_s[pool] = now_s
        if self.context.demand(pool) is None or loaded.record.wanted is None:
            return False
        found = self.context.view().instances.values()
        size = sum(each.pool == pool for each in found)
        return size > loaded.record.wanted

    def start_move(
        self,
        loaded: LoadedBudget,
        listed: dict[str, PlatformInstance],
        use: BudgetUse,
    ) -> bool:
        """Start the move of one instance of this pool to another pool.

        :param loaded: budget of the donor.
        :param listed: the platform's list of instances, by name.
        :param use: current use of the donor's budget.
        :returns: whether the records were changed.
        """
        items = {
            item.key.removeprefix(BUDGET_PREFIX): item
            for item in self.store.range(BUDGET_PREFIX).items
        }
        budgets = {
            pool: decode_budget(pool, 0, items.get(pool))
            for pool in self.context.view().pools
        }
        budgets[loaded.pool] = loaded
        now_s = self.wall_clock()
        states = self.pool_states(budgets, use, now_s)
        chosen = [
            move
            for move in plan_moves(states, now_s, self.settings, self.rng)
            if move.donor == loaded.pool
        ]
        name = self.choose_instance(loaded, listed, use)
        if not chosen or name is None:
            return False
        return self.write_move(loaded, budgets[chosen[0].receiver], name, use)

    def pool_states(
        self, budgets: dict[str, LoadedBudget], use: BudgetUse, now_s: float
    ) -> list[PoolState]:
        """Return the states of all pools, for planning.

        An instance counts as a member of the receiver from the start of its
        move.
        """
        view = self.context.view()
        sizes = dict.fromkeys(view.pools, 0)
        for member in view.instances.values():
            if member.pool in sizes:
                sizes[member.pool] += 1
        for pool, loaded in budgets.items():
            for each in loaded.record.outages:
                if each.purpose == "move" and not each.joining:
                    sizes[pool] -= 1
                    if each.target in sizes:
                        sizes[each.target] += 1
        found = []
        for pool, record in view.pools.items():
            loaded = budgets[pool]
            allowed = allowed_out(sizes[pool], self.classes(pool))
            out = len(loaded.record.outages)
            if loaded.fence:
                allowed, out = use.allowed, len(use.out)
            found.append(
                PoolState(
                    pool,
                    record.spare,
                    sizes[pool],
                    loaded.record.wanted,
                    recent_moves(loaded.record.moves, now_s, self.settings),
                    max(0, allowed - out),
                )
            )
        return found

    def choose_instance(
        self,
        loaded: LoadedBudget,
        listed: dict[str, PlatformInstance],
        use: BudgetUse,
    ) -> str | None:
        """Return the instance to move, or None if none may leave the pool.

        Instances with the fewest long requests come first, then those with
        the oldest maintenance, because the reboot of the move counts as
        maintenance. The donor's budget must hold now and with one member
        less.
        """
        if len(use.out) > allowed_out(use.size - 1, self.classes(loaded.pool)):
            return None
        long_work = self.context.long_work(loaded.pool)
        eligible = [
            (long_work.get(name, 0), each.maintained_s, name)
            for name, each in self.context.view().instances.items()
            if each.pool == loaded.pool
            and each.state == "live"
            and name in listed
            and name not in use.out
            and use.admits(name)
        ]
        return min(eligible)[2] if eligible else None

    def write_move(
        self,
        loaded: LoadedBudget,
        receiver: LoadedBudget,
        name: str,
        use: BudgetUse,
    ) -> bool:
        """Write the start of a move and record it for both pools.

        Both budget records are compared, so that the rate limit and the
        payback time hold even if several donors decide at the same time.

        :returns: whether the records were changed.
        """
        view, now_s = self.context.view(), self.wall_clock()
        outage = Outage(name, "move", EXCLUDING, now_s, receiver.pool)
        member = view.instances[name]
        decision_keys = [INSTANCE_PREFIX + name]
        decision_keys += [
            POOL_PREFIX + p for p in (loaded.pool, receiver.pool)
        ]
        others = [CLASS_PREFIX + e.name for e in self.classes(loaded.pool)]
        others += [
            INSTANCE_PREFIX + each.name
            for each in view.instances.values()
            if each.pool == loaded.pool and each.name != name
        ]
        decision_keys += others[:COMPARES_LIMIT]
        receiver_key = BUDGET_PREFIX + receiver.pool
        donor_record = self.with_move(
            loaded.record, now_s, receiver.pool, False
        )
        receiver_record = self.with_move(
            receiver.record, now_s, loaded.pool, True
        )
        result = self.store.txn(
            [
                *loaded.compares,
                Compare(receiver_key, receiver.revision),
                *(
                    Compare(key, self.context.revision_of(key))
                    for key in decision_keys
                ),
            ],
            [
                loaded.put(donor_record.with_outage(outage)),
                receiver.put(receiver_record),
                Put(
                    INSTANCE_PREFIX + name,
                    encode_record(member._replace(state="draining")),
                ),
            ],
        )
        if not result.succeeded:
            self.metrics.incr("controller.conflicts")
            return False
        self.metrics.incr("controller.moves_started")
        self.context.announce(result.revision)
        self.context.decided(
            "outage_started",
            name,
            f"move to {receiver.pool}: {loaded.pool} wants "
            f"{loaded.record.wanted} instances, {receiver.pool} wants "
            f"{receiver.record.wanted}",
            outage._asdict(),
        )
        return True

    def with_move(
        self, record: BudgetRecord, now_s: float, other: str, incoming: bool
    ) -> BudgetRecord:
        """Return a record with a move added and outdated moves removed."""
        kept = recent_moves(record.moves, now_s, self.settings)
        move = MoveRecord(now_s, other, incoming)
        return record._replace(moves=(*kept, move))

    def transfer_instance(self, loaded: LoadedBudget, outage: Outage) -> bool:
        """Change an instance's pool and transfer its outage to the new pool.

        If the new pool no longer exists, the instance stays and the outage
        continues as maintenance.

        :returns: whether the records were changed.
        """
        view = self.context.view()
        key = INSTANCE_PREFIX + outage.instance
        _, found = self.store.get(key)
        if outage.target not in view.pools or found is None:
            as_maintenance = outage._replace(
                purpose="maintenance", target="", step=REBOOTING
            )
            put = loaded.put(loaded.record.with_outage(as_maintenance))
            return self.store.txn(loaded.compares, [put]).succeeded
        receiver = load_budget(self.store, outage.target, 0)
        member = decode_record(found.value, InstanceRecord, key)
        moved = member._replace(pool=outage.target, state="moving")
        joining = outage._replace(step=REBOOTING, joining=True)
        compares = [
            *loaded.compares,
            Compare(BUDGET_PREFIX + outage.target, receiver.revision),
            Compare(key, found.mod_revision),
        ]
        for pool in (loaded.pool, outage.target):
            pool_key = POOL_PREFIX + pool
            compares.append(
                Compare(pool_key, self.context.revision_of(pool_key))
            )
        result = self.store.txn(
            compares,
            [
                loaded.put(loaded.record.without_outage(outage.instance)),
                receiver.put(receiver.record.with_outage(joining)),
                Put(key, encode_record(moved)),
            ],
        )
        if not result.succeeded:
            self.metrics.incr("controller.conflicts")
            return False
        self.metrics.incr("controller.moves")
        self.context.announce(result.revision)
        self.context.decided(
            "instance_moved",
            outage.instance,
            f"drained in {loaded.pool}, reboots in {outage.target}",
            outage._asdict(),
        )
        return True
