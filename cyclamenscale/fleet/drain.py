"""Steps of a planned outage, from exclusion to the return to service.

Pure: :func:`next_action` takes the recorded outage and the facts that are
known, and says what to do. Each step is recorded before it is carried out,
and carrying it out twice changes nothing, so that any entry can go on from
the record alone.
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
    """What is known about an instance in a planned outage.

    :ivar in_force: whether its exclusion is in force at every entry.
    :ivar in_progress: requests that entries and platform report in
        progress, or None if one of them did not answer.
    :ivar rebooted: whether the platform has completed the reboot.
    :ivar version: version that the instance runs.
    :ivar probe: whether it answers its health probe, or None if the probe
        has not been tried.
    """

    in_force: bool = False
    in_progress: int | None = None
    rebooted: bool = False
    version: str = ""
    probe: bool | None = None


class Wait(NamedTuple):
    """Nothing to do yet.

    :ivar reason: what is waited for.
    """

    reason: str


class Advance(NamedTuple):
    """Record the next step.

    :ivar outage: the outage in its next step.
    """

    outage: Outage


class Reboot(NamedTuple):
    """Send the reboot; it is carried out once however often it is sent.

    :ivar action_id: id of the action.
    :ivar version: version to run, empty for no change.
    """

    action_id: str
    version: str


class Finish(NamedTuple):
    """End the outage and return the instance to service."""


Action = Wait | Advance | Reboot | Finish


def action_id(pool: str, outage: Outage) -> str:
    """Return the id of the reboot that belongs to an outage.

    :param pool: pool in which the outage was started.
    :param outage: the outage.
    """
    return f"{pool}/{outage.instance}/{outage.started_s:.6f}"


def next_action(pool: str, outage: Outage, observed: ObservedState) -> Action:
    """Decide what to do next for a planned outage.

    :param pool: the pool whose record holds the outage.
    :param outage: the outage as recorded.
    :param observed: what is known now.
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
    """Decide on an instance that has rebooted."""
    if observed.probe is None:
        return Wait("health probe has not been tried")
    expected = outage.target if outage.purpose == "version" else ""
    if observed.probe and (not expected or observed.version == expected):
        return Finish()
    return Advance(outage._replace(failed_probes=outage.failed_probes + 1))
