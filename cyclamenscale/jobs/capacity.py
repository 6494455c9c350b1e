"""Which machines should change their pool, from the demand of the queues."""

from cyclamenscale.jobs.model import Machine
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.state import State


class Capacity:
    """Decides on moves between pools.

    :param state: shared knowledge.
    :param placement: tells the backlog of each pool.
    """

    def __init__(self, state: State, placement: Placement):
        """Start without history."""
        self.state = state
        self.placement = placement

    def moves(
        self,
        machines: dict[str, Machine],
        busy: set[str],
        operations: dict,
        now_s: float,
    ) -> list[tuple[Machine, str]]:
        """Return the moves to start now.

        :param machines: all machines by name.
        :param busy: names of machines that may not be moved.
        :param operations: operations in progress by machine.
        :returns: machines with their target pools.
        """
        return []
