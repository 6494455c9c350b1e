"""Steps of a planned outage, from exclusion to the return to service.

:func:`next_action` is pure: it takes the recorded outage and the observed
state of the instance, and returns the next action. Each step is recorded
before it is carried out and is idempotent, so that any entry can continue
from the record alone.
"""

from typing import NamedTuple

from cyclamenscale.fleet.budget import (
    EXCLUDING,
    PROBING,
    REBOOTING,
    WAITING,
    Outage,
)


class ObservedState(NamedTuple):
    """Observed state of an instance in a planned outage.

    Only the fields that the outage's current step needs are set.

    :ivar in_force: whether the exclusion is in force at every entry.
    :ivar in_progress: requests in progress as reported by the entries and
        the platform, or None if one of them did not respond.
    :ivar rebooted: whether the platform has completed the reboot.
    :ivar version: software version that the instance runs.
    :ivar probe: whether the health probe succeeded, or None if it has not
        been tried.
    """

    in_force: bool = False
    in_progress: int | None = None
    rebooted: bool = False
    version: str = ""
    probe: bool | None = None


class Wait(NamedTuple):
    """Do nothing in this tick.

    :ivar reason: condition that the outage is waiting for.
    """

    reason: str


class Advance(NamedTuple):
    """Record the outage's next step or a failed probe.

    :ivar outage: the outage as it is to be recorded.
    """

    outage: Outage


class Reboot(NamedTuple):
    """Send the reboot order; the platform carries out each action id once.

    :ivar action_id: id of the reboot at the platform.
    :ivar version: version to install, empty for no change.
    """

    action_id: str
    version: str


class Finish(NamedTuple):
    """End the outage and return the instance to service."""


Action = Wait | Advance | Reboot | Finish


def action_id(pool: str, outage: Outage) -> str:
    """Return the id of an outage's reboot at the platform.

    :param pool: pool whose record holds the outage.
    :param outage: outage that the reboot belongs to.
    """
    return f"{pool}/{outage.instance}/{outage.started_s:.6f}"


def next_action(pool: str, outage: Outage, observed: ObservedState) -> Action:
    """Return the next action for a planned outage.

    :param pool: pool whose record holds the outage.
    :param outage: the outage as recorded.
    :param observed: current state of the instance.
    """
    if outage.step == EXCLUDING:
        if not observed.in_force:
            return Wait("exclusion is not in force at every entry")
        return Advance(outage._replace(step=WAITING))
    if outage.step == WAITING:
        if observed.in_progress is None:
            return Wait("an entry or the platform did not answer")
        if observed.in_progress > 0:
            return Wait(f"{observed.in_progress} requests in progress")
        return Advance(outage._replace(step=REBOOTING))
    if outage.step == REBOOTING:
        if not observed.rebooted:
            version = outage.target if outage.purpose == "version" else ""
            return Reboot(action_id(pool, outage), version)
        return Advance(outage._replace(step=PROBING))
    return _after_reboot(outage, observed)


def _after_reboot(outage: Outage, observed: ObservedState) -> Action:
    """Return the next action for an instance that has rebooted.

    A probe that answers with another version than the target is a failure.
    """
    if observed.probe is None:
        return Wait("health probe has not been tried")
    expected = outage.target if outage.purpose == "version" else ""
    if observed.probe and (not expected or observed.version == expected):
        return Finish()
    return Advance(outage._replace(failed_probes=outage.failed_probes + 1))
