"""The commands; those on records and reports are in modules of their own.

Modules that open sockets or start threads are only imported by the commands
that need them.
"""

import sys

from cyclamenscale.settings import EntrySettings, Settings, load
from cyclamenscale.settings_schema import render_docs, render_ini
from cyclamenscale.ui.planning import Group, Plan, command, print_json
from cyclamenscale.ui.records import (
    ChangeGroup,
    ClassGroup,
    InstanceGroup,
    MemberGroup,
    PoolGroup,
)
from cyclamenscale.ui.reports import ExplainGroup, print_audit, print_status
from cyclamenscale.util.log import set_up


class SettingsGroup(Group):
    """Check, show and describe settings."""

    @command
    def check(self, file: str) -> None:
        """Check a settings file and report all its errors.

        :param file: path of an INI file.
        """
        load(file)
        print(f"{file}: no errors")

    @command
    def show(self, file: str = "", *, json: bool = False) -> None:
        """Print the settings of a file, including defaults.

        :param file: path of an INI file, empty for the defaults.
        :param json: print JSON.
        """
        settings = load(file or None)
        if json:
            print_json(settings)
        else:
            print(render_ini(settings), end="")

    @command
    def docs(self) -> None:
        """Print the documentation of all settings in Markdown."""
        print(render_docs(Settings), end="")


def finish(result: str | int | None) -> int | None:
    """Print the report of a benchmark, or return its exit status."""
    if isinstance(result, str):
        print(result)
        return None
    return result


class BenchGroup(Group):
    """Run a benchmark and print its report."""

    @command
    def policy(
        self, *, seed: int = 1, deployment: str = "szlifrail", report: str = ""
    ) -> int | None:
        """Compare slot policies in a simulation.

        :param seed: seed of the load.
        :param deployment: deployment to simulate, szlifrail or kamnolom.
        :param report: file for the report as an HTML page, empty for none.
        """
        from cyclamenscale.bench.policy import run

        found = run(seed=seed, deployment=deployment, report=report or None)
        return finish(found)

    @command
    def placement(self, *, seed: int = 1) -> int | None:
        """Measure the placement of tasks on workers.

        :param seed: first seed of the jobs.
        """
        from cyclamenscale.bench.placement import run

        return finish(run(seed=seed))

    @command
    def fleet(
        self, *, seed: int = 1, deployment: str = "szlifrail"
    ) -> int | None:
        """Measure roll-outs, buffers, moves and decision times.

        :param seed: seed of the load.
        :param deployment: deployment to simulate, szlifrail or kamnolom.
        """
        from cyclamenscale.bench.fleet import run

        return finish(run(seed=seed, deployment=deployment))

    @command
    def path(self) -> int | None:
        """Measure the request path."""
        from cyclamenscale.bench.path import run

        return finish(run())

    @command
    def changes(self) -> int | None:
        """Measure the time until changes are in force, and the store calls."""
        from cyclamenscale.bench.changes import run

        return finish(run())

    @command
    def capacity(self) -> int | None:
        """Measure the cost of each unit of load, for capacity planning."""
        from cyclamenscale.bench.capacity import run

        return finish(run())


class Commands(Group):
    """Fleet capacity and maintenance manager."""

    def __init__(self, plan: Plan):
        """Create the groups; ``class`` is a keyword, hence ``setattr``."""
        super().__init__(plan)
        setattr(self, "class", ClassGroup(plan))
        self.pool = PoolGroup(plan)
        self.instance = InstanceGroup(plan)
        self.member = MemberGroup(plan)
        self.change = ChangeGroup(plan)
        self.explain = ExplainGroup(plan)
        self.settings = SettingsGroup(plan)
        self.bench = BenchGroup(plan)

    @command
    def entry(self, settings: str) -> int | None:
        """Run an entry until SIGTERM or SIGINT.

        :param settings: path of an INI file.
        """
        checked = load(settings)
        set_up(checked)
        from cyclamenscale.entry import run

        return run(checked)

    @command
    def jobs(self, *, settings: str = "") -> int | None:
        """Run a job entry until SIGTERM.

        :param settings: path of an INI file, by default that in the
            environment variable CYCLAMENSCALE_SETTINGS.
        """
        from cyclamenscale.platform.program import run

        return run(settings)

    @command
    def local(self, *, serve: bool = False) -> int | None:
        """Run a demonstration: stand-ins and two entries in one process.

        :param serve: keep serving instead of running the demonstration.
        """
        from cyclamenscale.local import run

        # Both entries run in this process and share its log.
        set_up(Settings(entry=EntrySettings(name="local")))
        return run(serve=serve)

    @command
    def status(self, *, entry: str = "", json: bool = False) -> None:
        """Show the state of an entry.

        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        print_status(entry, json)

    @command
    def audit(
        self,
        *,
        limit: int = 50,
        after: str = "",
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Show changes of the configuration and an entry's decisions.

        :param limit: maximum number of each.
        :param after: id of a change; show the changes after it.
        :param entry: HOST:PORT of an operators' server, several separated
            by commas; by default CYCLAMENSCALE_ENTRY.
        :param json: print JSON.
        """
        if print_audit(limit, after, entry, json):
            print(
                "there are more changes: repeat with --after and the last id",
                file=sys.stderr,
            )
