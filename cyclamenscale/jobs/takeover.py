"""What a coordinator leaves to the next one about machines.

Orders for one machine must not come from two holders in turn within the
platform's bound, so the record names a machine before an order for it goes
out. It also keeps what was learned of the pools.
"""

from concurrent.futures import Future

from cyclamenscale.jobs.capacity import Capacity, Turn
from cyclamenscale.jobs.keys import FLEET, LEADER
from cyclamenscale.jobs.model import FleetRecord
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.store.port import Compare, Put
from cyclamenscale.util.codec import encode_record

#: Added to the time for which another holder's orders exclude ours.
EXCLUSION_MARGIN_S = 0.3

#: Time between two writes of the record that only take machines out of it.
REMOVAL_INTERVAL_S = 0.5


class Takeover:
    """Stores the record, and tells which machines may be ordered about.

    :param state: shared knowledge.
    :param store: keeps the record.
    :param capacity: what was learned of the pools.
    """

    def __init__(self, state: State, store: StoreCalls, capacity: Capacity):
        """Start without a record."""
        self.state = state
        self.store = store
        self.capacity = capacity
        #: Machines that the holder before may have ordered something for.
        self.previous_orders: set[str] = set()
        #: When this holder last ordered something for a machine.
        self.last_order_s: dict[str, float] = {}
        #: Machines that the stored record names, and that record.
        self.stored_machines: set[str] = set()
        self.stored_record: FleetRecord | None = None
        self.save_in_flight = False
        self.saved_s = 0.0

    def restore(self, record: FleetRecord) -> None:
        """Take over what the holder before has left.

        Times of turns are wall-clock times; clocks of entries differ by
        less than a turn lasts.
        """
        state = self.state
        self.previous_orders = set(record.recently_ordered)
        shift_s = state.clock() - state.wall()
        self.capacity.homes = dict(record.initial_pool_sizes)
        self.capacity.rhythm.turns = [
            Turn(pool, at_ms / 1000 + shift_s, machines)
            for pool, at_ms, machines in record.demand_peaks
        ]
        if record.demand_peaks:
            self.capacity.rhythm.hot = record.demand_peaks[-1][0]

    def save(self, now_s: float) -> None:
        """Store what the next coordinator has to know, if it has changed.

        An order is sent only once the record names its machine. A machine
        leaves the record as soon as another holder may order about it, since
        the next one can't tell how old the record is.
        """
        if self.save_in_flight or not self.state.proven():
            return
        state = self.state
        recent_s = now_s - self.exclusion_s
        machines = {
            name for name, at_s in self.last_order_s.items() if at_s > recent_s
        }
        if state.term.began_s > recent_s:
            # A third holder may follow before these are free.
            machines |= self.previous_orders
        self.last_order_s = {
            name: at_s
            for name, at_s in self.last_order_s.items()
            if at_s > recent_s
        }
        shift_s = state.wall() - state.clock()
        rhythm = self.capacity.rhythm
        record = FleetRecord(
            tuple(sorted(machines)),
            tuple(sorted(self.capacity.homes.items())),
            tuple(
                (turn.pool, int((turn.at_s + shift_s) * 1000), turn.machines)
                for turn in rhythm.turns
            ),
        )
        if not self.needs_saving(record, now_s):
            return
        self.save_in_flight = True
        # No order for a machine that this write takes out of the record.
        self.stored_machines &= machines

        def saved(done: Future) -> None:
            self.save_in_flight = False
            if not done.exception() and done.result().succeeded:
                self.stored_machines = machines
                self.stored_record = record
                self.saved_s = now_s

        self.store.txn(
            [Compare(LEADER, state.term.fence)],
            [Put(FLEET, encode_record(record))],
        ).add_done_callback(saved)

    def needs_saving(self, record: FleetRecord, now_s: float) -> bool:
        """Return whether a record differs enough from the stored one."""
        stored = self.stored_record
        if stored is None:
            return bool(record.recently_ordered or record.initial_pool_sizes)
        ordered = set(record.recently_ordered)
        return (
            not ordered <= self.stored_machines
            or (
                ordered < self.stored_machines
                and now_s - self.saved_s > REMOVAL_INTERVAL_S
            )
            or record.initial_pool_sizes != stored.initial_pool_sizes
            or [turn[0] for turn in record.demand_peaks]
            != [turn[0] for turn in stored.demand_peaks]
        )

    @property
    def exclusion_s(self) -> float:
        """Return how long two holders' orders for a machine are apart."""
        pause_ms = self.state.settings.jobs.holder_pause_ms
        return pause_ms / 1000 + EXCLUSION_MARGIN_S

    def is_excluded(self, machine: str, now_s: float) -> bool:
        """Return whether orders of the holder before exclude ours."""
        since_s = now_s - self.state.term.began_s
        return machine in self.previous_orders and since_s <= self.exclusion_s

    def may_order(self, machine: str, now_s: float) -> bool:
        """Return whether an order for a machine may be sent now."""
        if not self.state.proven() or self.is_excluded(machine, now_s):
            return False
        self.last_order_s[machine] = now_s
        return machine in self.stored_machines
