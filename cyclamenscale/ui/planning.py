"""Commands that are queued while the command line is parsed."""

import inspect
from collections.abc import Callable
from functools import partial, wraps
from typing import Any

from fire import decorators

from cyclamenscale.util.codec import to_json

# fire stores the parsers of a command in an attribute of the function, and
# its help would list that attribute as a group of commands; it leaves out
# names that start with an underscore.
decorators.FIRE_METADATA = "_fire_metadata"

Plan = list[Callable[[], int | None]]


class Group:
    """A group of commands.

    :param plan: list to which the parsed commands are appended.
    """

    def __init__(self, plan: Plan):
        """Store the plan privately; the help lists public attributes."""
        self._plan = plan


def command(method: Callable[..., int | None]) -> Callable[..., None]:
    """Queue the calls of a :class:`Group` method instead of running them.

    Parameters annotated as ``str`` are passed as typed; otherwise fire would
    convert the version 1.10 to the number 1.1.
    """

    @wraps(method)
    def plan(self: Group, *args: Any, **kwargs: Any) -> None:
        self._plan.append(partial(method, self, *args, **kwargs))

    texts = {
        name: str
        for name, parameter in inspect.signature(method).parameters.items()
        if parameter.annotation is str
    }
    return decorators.SetParseFns(**texts)(plan)


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(to_json(value).decode())
