"""A worker that starts again under its name knows nothing of before."""

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_follower import ListFollower
from redwingscale_daemon._internal.fleet.prompt import Prompt, PromptPart
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.platform import discovery
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow

UNIT = Unit("m")
PROMPT = Prompt(UNIT, 900, 10, (PromptPart("p", 800), PromptPart("own", 100)))


def start(started_at_ms, row_version, *models):
    """One start of the worker ``w``."""
    held = {name: ResidentModel(name, 1, frozenset()) for name in models}
    return Upstream(
        f"w@{started_at_ms}", "llm", "127.0.0.1", 1, "z1", 64, False, None, held,
        frozenset(), frozenset(), named="w", started_at_ms=started_at_ms, row_version=row_version,
    )  # fmt: skip


@pytest.fixture
def fleet():
    made = new_fleet()
    made.directory.replace([start(1, 1, "m")])
    return made


def holders(fleet):
    return [one.id for one in fleet.directory.holders("llm", UNIT)]


def test_nothing_carries_over_to_the_next_start(fleet):
    # A worker crashes and is back within a second under the name that it had. Requests
    # went on to it for a model and for prompts that only the former start held, and
    # were avoided for failures that were not its own.
    fleet.prefixes.sent("w@1", PROMPT)
    fleet.health.note_failure("w@1")
    fleet.latency_factors.observe("w@1", 100.0, 500.0)
    fleet.directory.replace([start(2, 2)])
    assert holders(fleet) == []
    assert fleet.prefixes.kept_tokens("w@2", PROMPT) == 0
    assert not fleet.health.is_avoided("w@2")
    assert fleet.latency_factors.factor("w@2") == 1.0
    assert fleet.prefixes.kept_tokens("w@1", PROMPT) == 0


def test_list_read_from_behind_does_not_bring_the_former_start_back(fleet):
    fleet.directory.replace([start(2, 2, "m")])
    fleet.directory.replace([start(1, 1, "m")])
    assert holders(fleet) == ["w@2"]


def test_news_of_a_giver_that_reads_from_behind_do_not_either(fleet):
    fleet.directory.replace([start(2, 2, "m")])
    fleet.directory.update([start(1, 1, "m")], [])
    assert holders(fleet) == ["w@2"]


def test_clock_that_jumped_back_does_not_hide_the_new_start(fleet):
    # The worker's clock went back over its restart: its start looks the older one, and
    # by that alone it would never be used again.
    fleet.directory.replace([start(0, 2, "m")])
    assert holders(fleet) == ["w@0"]


def test_lapsed_entry_of_the_former_start_gives_way(fleet):
    fleet.directory.replace([start(2, 3, "m"), start(1, 1, "m")])
    assert holders(fleet) == ["w@2"]


class ListedRows:
    """A store that lists what it is told to."""

    def __init__(self):
        self.values = {}

    def read(self, table, partition):
        if self.values is None:
            raise PlatformUnavailable("away")
        rows = [StoredRow(RowKey(table, "", name), 1, value) for name, value in self.values.items()]
        return Snapshot(tuple(rows), 1)


ENTRY = (
    b'{"Service":"llm","Address":"10.0.0.9:80","Zone":"z1","Version":"v1","Slots":4,'
    b'"State":"ready","ColdLeftMs":0,"Seq":1}'
)


@pytest.mark.parametrize(
    "bad", [b"", b"\xff", b"{}", ENTRY.replace(b"ready", b"warming"), ENTRY.replace(b"4", b'"4"')]
)
def test_bad_entry_takes_nothing_from_the_others(bad, capsys):
    # Somebody else writes a line into the list: the whole list was taken for unreadable,
    # or the stranger got callers' requests.
    store, fleet = ListedRows(), new_fleet()
    follower = ListFollower(
        store, "servers", discovery.decode_upstream, fleet.directory, LinkState("upstreams")
    )
    store.values = {"good": ENTRY, "bad": bad}
    follower.step()
    follower.step()
    assert [one.id for one in fleet.directory.usable("llm")] == ["good"]
    assert not fleet.directory.usable("unknown")
