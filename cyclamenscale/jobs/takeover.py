"""State about machines that a leader stores for its successor.

The platform forbids orders for one machine from two leaders within a fixed
time, so the stored record names a machine before an order for it is sent.
The record also contains the initial pool sizes and the demand peaks.
"""

from concurrent.futures import Future

from cyclamenscale.jobs.capacity import CapacityPlanner, DemandPeak
from cyclamenscale.jobs.keys import FLEET, LEADER
from cyclamenscale.jobs.model import FleetRecord
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.store.port import Compare, Put, TxnResult
from cyclamenscale.util.codec import encode_record

#: Added to the time for which orders of the previous leader exclude ours.
EXCLUSION_MARGIN_S = 0.3

#: Minimum time between two writes that only remove machines from the record.
REMOVAL_INTERVAL_S = 0.5


class Takeover:
    """Stores the record and decides which machines may get orders.

    :param state: shared state of the coordinator.
    :param store: the store.
    :param planner: initial sizes and demand peaks of the pools.
    """

    def __init__(
        self, state: State, store: StoreCalls, planner: CapacityPlanner
    ):
        """Initialise with no record."""
        self.state = state
        self.store = store
        self.planner = planner
        #: Machines for which the previous leader may have sent orders.
        self.previous_orders: set[str] = set()
        #: When this leader last sent or planned an order, by machine.
        self.last_order_s: dict[str, float] = {}
        #: Machines named in the stored record, that record, and its revision
        #: (0 if there is none).
        self.stored_machines: set[str] = set()
        self.stored_record: FleetRecord | None = None
        self.stored_revision = 0
        self.save_in_flight = False
        self.saved_s = 0.0

    def restore(self, record: FleetRecord, revision: int) -> None:
        """Load the record of the previous leader.

        :param revision: revision of the record, 0 if there is none.

        Demand peaks are stored with wall-clock times; the clocks of entries
        differ by less than the duration of a peak.
        """
        state = self.state
        self.stored_revision = revision
        self.previous_orders = set(record.recently_ordered)
        shift_s = state.clock() - state.wall()
        self.planner.initial_sizes = dict(record.initial_pool_sizes)
        self.planner.forecast.peaks = [
            DemandPeak(pool, at_ms / 1000 + shift_s, machines)
            for pool, at_ms, machines in record.demand_peaks
        ]
        if record.demand_peaks:
            self.planner.forecast.peak_pool = record.demand_peaks[-1][0]

    def save(self, now_s: float) -> None:
        """Store the record for the next leader if it has changed.

        An order is sent only once the record names its machine. A machine
        is removed from the record as soon as another leader may send orders
        for it, since the next leader can't tell how old the record is.

        A write without a response may be carried out seconds later. It
        compares the revision of the record, so that it then changes nothing
        if a later one was carried out before.
        """
        if self.save_in_flight or not self.state.lease_confirmed():
            return
        state = self.state
        recent_s = now_s - self.exclusion_s
        machines = {
            name for name, at_s in self.last_order_s.items() if at_s > recent_s
        }
        if state.term.began_s > recent_s:
            # A further leader may take over while these are still excluded.
            machines |= self.previous_orders
        self.last_order_s = {
            name: at_s
            for name, at_s in self.last_order_s.items()
            if at_s > recent_s
        }
        shift_s = state.wall() - state.clock()
        forecast = self.planner.forecast
        record = FleetRecord(
            tuple(sorted(machines)),
            tuple(sorted(self.planner.initial_sizes.items())),
            tuple(
                (
                    peak.pool,
                    int((peak.started_s + shift_s) * 1000),
                    peak.machines,
                )
                for peak in forecast.peaks
            ),
        )
        if not self.needs_saving(record, now_s):
            return
        self.save_in_flight = True
        # No orders for machines that this write removes from the record.
        self.stored_machines &= machines

        def saved(done: Future) -> None:
            self.save_in_flight = False
            if done.exception():
                state.metrics.incr("jobs.fleet_record_failed")
                return
            result: TxnResult = done.result()
            if result.succeeded:
                self.stored_machines = machines
                self.stored_record = record
                self.stored_revision = result.revision
                self.saved_s = now_s
                return
            leader = result.current.get(LEADER)
            if not leader or leader.mod_revision != state.term.fence:
                state.superseded = "the leader's key has changed"
                return
            # An earlier write without a response was carried out.
            found = result.current.get(FLEET)
            self.stored_revision = found.mod_revision if found else 0
            self.stored_machines = set()

        self.store.txn(
            [
                Compare(LEADER, state.term.fence),
                Compare(FLEET, self.stored_revision),
            ],
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
            or [peak[0] for peak in record.demand_peaks]
            != [peak[0] for peak in stored.demand_peaks]
        )

    @property
    def exclusion_s(self) -> float:
        """Return the minimum time between two leaders' orders."""
        pause_ms = self.state.settings.jobs.holder_pause_ms
        return pause_ms / 1000 + EXCLUSION_MARGIN_S

    def is_excluded(self, machine: str, now_s: float) -> bool:
        """Return whether orders of the previous leader exclude ours."""
        since_s = now_s - self.state.term.began_s
        return machine in self.previous_orders and since_s <= self.exclusion_s

    def may_order(self, machine: str, now_s: float) -> bool:
        """Return whether an order for a machine may be sent now.

        If only the stored record lacks the machine, the next :meth:`save`
        adds it.
        """
        if not self.state.lease_confirmed() or self.is_excluded(
            machine, now_s
        ):
            return False
        self.last_order_s[machine] = now_s
        return machine in self.stored_machines
