"""Commands that are planned while the command line is parsed."""

import inspect
from collections.abc import Callable
from functools import partial, wraps
from typing import Any

from fire import decorators

from cyclamenscale.util.codec import to_json

# fire keeps the parsers of a command in an attribute of the function, and
# its help would list the attribute as a group of further commands; names
# with an underscore are left out.
decorators.FIRE_METADATA = "_fire_metadata"

Plan = list[Callable[[], int | None]]


class Group:
    """A group of commands.

    :param plan: gets the commands that were understood.
    """

    def __init__(self, plan: Plan):
        """Keep the plan out of the help, which lists public attributes."""
        self._plan = plan


def command(method: Callable[..., int | None]) -> Callable[..., None]:
    """Plan a method of a :class:`Group` instead of running it.

    Parameters annotated as ``str`` are taken as they were typed; otherwise
    fire would turn the version 1.10 into the number 1.1.
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
    """Print a value for programs."""
    print(to_json(value).decode())
