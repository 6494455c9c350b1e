"""Entries without a request path, run in the test process."""

from random import Random
from threading import Event, Thread
from time import monotonic

from cyclamenscale.configuration.operations import Operations
from cyclamenscale.configuration.reader import ConfigReader
from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.members.freshness import Freshness
from cyclamenscale.members.member_list import (
    MemberListEditor,
    choose_incarnation,
)
from cyclamenscale.members.peers import PeerLink
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import (
    EntrySettings,
    FreshnessSettings,
    PeersSettings,
    Settings,
)
from cyclamenscale.standin.memory import MemoryStore
from cyclamenscale.standin.state import StoreState

#: Timeout of every wait in a test; a passing test needs a fraction of it.
WAIT_S = 20.0

FAST_SETTINGS = Settings(
    peers=PeersSettings(heartbeat_s=0.05, suspect_s=0.3, dead_s=0.6),
    freshness=FreshnessSettings(
        limit_s=0.8, margin_s=0.2, accept_within_s=4.0
    ),
)


class Node:
    """An entry: configuration, peer link, reader, operations, members."""

    def __init__(
        self,
        name: str,
        state: StoreState,
        seeds: tuple[str, ...] = (),
        settings: Settings = FAST_SETTINGS,
        incarnation: int | None = None,
    ):
        self.settings = settings._replace(
            entry=EntrySettings(name=name),
            peers=settings.peers._replace(seeds=seeds),
        )
        self.store = MemoryStore(state, self.settings)
        self.metrics = Metrics(self.settings)
        self.table = ConfigTable(self.settings, self.metrics)
        self.freshness = Freshness(
            self.settings,
            monotonic,
            self.table,
            incarnation or choose_incarnation(self.store, name),
        )
        parts = (self.settings, self.metrics, monotonic)
        self.link = PeerLink(*parts, self.table, self.freshness)
        self.reader = ConfigReader(
            self.settings,
            self.store,
            self.table,
            self.freshness,
            self.metrics,
            monotonic,
            Random(1),
        )
        self.operations = Operations(
            self.settings,
            self.store,
            self.table,
            self.link,
            self.freshness,
            self.metrics,
            monotonic,
        )
        self.members = MemberListEditor(
            self.settings, self.operations, self.freshness, self.metrics
        )
        self.stop = Event()
        self.threads: list[Thread] = []

    def start(self, reader: bool = True) -> "Node":
        """Start the components; without the reader, the store is not used."""
        self.spawn(self.link.run, self.stop)
        assert self.link.ready.wait(WAIT_S)
        if reader:
            self.spawn(self.reader.run, self.stop)
            self.spawn(self.members.run, self.stop, self.link.address)
        return self

    def spawn(self, target, *args) -> None:
        """Run a component in a thread."""
        thread = Thread(target=target, args=args, daemon=True)
        thread.start()
        self.threads.append(thread)

    def shut_down(self) -> None:
        """Stop the components."""
        self.stop.set()
        for thread in self.threads:
            thread.join(WAIT_S)
            assert not thread.is_alive()


def eventually(condition, what: str) -> None:
    """Wait until a condition holds."""
    wake = Event()
    end_s = monotonic() + WAIT_S
    while not condition():
        assert monotonic() < end_s, f"not within {WAIT_S} s: {what}"
        wake.wait(0.01)


def start_three(
    state: StoreState, settings: Settings = FAST_SETTINGS
) -> list[Node]:
    """Start entries a, b and c, and wait until all admit work."""
    nodes: list[Node] = []
    for name in "abc":
        seeds = tuple(node.link.address for node in nodes)
        nodes.append(Node(name, state, seeds, settings).start())
    eventually(
        lambda: all(
            len(node.table.view.members.members) == 3
            and node.freshness.may_admit()
            and node.link.alive() == ["a", "b", "c"]
            for node in nodes
        ),
        "three entries have joined",
    )
    return nodes


def shut_down_all(nodes: list[Node]) -> None:
    """Stop entries."""
    for node in nodes:
        node.stop.set()
    for node in nodes:
        node.shut_down()
