"""Command line interface.

fire parses the command line. A command is queued first and runs only after
all arguments have been parsed, so that a mistyped flag changes nothing.
"""

import os
import sys
import threading
from collections.abc import Callable

import fire
from fire.core import FireExit
from loguru import logger

from cyclamenscale.settings import Settings
from cyclamenscale.ui.commands import Commands
from cyclamenscale.util.faults import exit_status, iter_errors
from cyclamenscale.util.log import set_up

#: Exit status after an interrupt, by the convention of shells.
INTERRUPTED_STATUS = 130


def report(error: BaseException) -> int:
    """Print one line for each error; return the exit status."""
    for leaf in iter_errors(error):
        message = " ".join(str(leaf).split()) or type(leaf).__name__
        print(f"cyclamenscale: {message}", file=sys.stderr)
    logger.opt(exception=error).debug("command failed")
    return exit_status(error)


def run(argv: list[str]) -> int:
    """Run one command in this process.

    :param argv: the arguments after the program's name.
    :returns: the exit status.
    """
    plan: list[Callable[[], int | None]] = []
    try:
        fire.Fire(Commands(plan), command=argv, name="cyclamenscale")
    except FireExit as ended:
        return ended.code
    try:
        status = 0
        for command in plan:
            status = command() or status
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader of the output has closed the pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 1
    except Exception as error:
        return report(error)


def main() -> None:
    """Run the command line of this process."""
    # Without a pager, help is printed alike in terminals and pipes.
    os.environ.setdefault("PAGER", "cat")
    set_up(Settings())
    status = run(sys.argv[1:])
    sys.stdout.flush()
    sys.stderr.flush()
    main_thread = threading.main_thread()
    if any(
        thread is not main_thread and not thread.daemon
        for thread in threading.enumerate()
    ):
        # A component that does not stop would keep the process alive.
        os._exit(status)
    sys.exit(status)
