"""A worker that restarts under its name is a new upstream."""

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
from redwingscale_daemon._internal.store.store_version import StoreVersion

UNIT = Unit("m")
PROMPT = Prompt(UNIT, 900, 10, (PromptPart("p", 800), PromptPart("own", 100)))


def start(started_at_ms, row_version, *models):
    """Return one start of the worker ``w``."""
    resident = {name: ResidentModel(name, 1, frozenset()) for name in models}
    return Upstream(
        f"w@{started_at_ms}", "llm", "127.0.0.1", 1, "z1", 64, False, None, resident,
        frozenset(), frozenset(), named="w", started_at_ms=started_at_ms, row_number=row_version,
    )  # fmt: skip


@pytest.fixture
def fleet():
    made = new_fleet()
    made.directory.replace([start(1, 1, "m")])
    return made


def holders(fleet):
    return [one.id for one in fleet.directory.holders("llm", UNIT)]


def test_nothing_carries_over_to_the_next_start(fleet):
    # A worker crashes and restarts within a second under the same name. Guards against
    # requests to it for a model and for prompts that only the former start had in memory,
    # and against avoiding it for failures of the former start.
    fleet.prefixes.sent("w@1", PROMPT)
    fleet.health.note_failure("w@1")
    fleet.latency_factors.observe("w@1", 100.0, 500.0)
    fleet.directory.replace([start(2, 2)])
    assert holders(fleet) == []
    assert fleet.prefixes.cached_tokens("w@2", PROMPT) == 0
    assert not fleet.health.is_avoided("w@2")
    assert fleet.latency_factors.factor("w@2") == 1.0
    assert fleet.prefixes.cached_tokens("w@1", PROMPT) == 0


def test_stale_read_of_the_list_does_not_bring_the_former_start_back(fleet):
    fleet.directory.replace([start(2, 2, "m")])
    fleet.directory.replace([start(1, 1, "m")])
    assert holders(fleet) == ["w@2"]


def test_update_from_a_stale_read_of_the_leader_does_not_bring_it_back(fleet):
    fleet.directory.replace([start(2, 2, "m")])
    fleet.directory.update([start(1, 1, "m")], [])
    assert holders(fleet) == ["w@2"]


def test_clock_that_jumped_back_does_not_hide_the_new_start(fleet):
    # The worker's clock jumps back during its restart. Guards against comparing starts by
    # that clock: the new start looks older and would never be used.
    fleet.directory.replace([start(0, 2, "m")])
    assert holders(fleet) == ["w@0"]


def test_entry_of_the_former_start_is_replaced(fleet):
    fleet.directory.replace([start(2, 3, "m"), start(1, 1, "m")])
    assert holders(fleet) == ["w@2"]


class ListedRows:
    """A store that lists ``values``, or is unavailable if they are None."""

    def __init__(self):
        self.values = {}

    def read(self, table, partition):
        if self.values is None:
            raise PlatformUnavailable("away")
        rows = [
            StoredRow(RowKey(table, "", name), StoreVersion(0, 1), value)
            for name, value in self.values.items()
        ]
        return Snapshot(tuple(rows), StoreVersion(0, 1))


ENTRY = (
    b'{"Service":"llm","Address":"10.0.0.9:80","Zone":"z1","Version":"v1","Slots":4,'
    b'"State":"ready","ColdLeftMs":0,"Seq":1}'
)


@pytest.mark.parametrize(
    "bad",
    [
        b"", b"\xff", b"{}", ENTRY.replace(b"ready", b"warming"), ENTRY.replace(b"4", b'"4"'),
        ENTRY.replace(b"4", b"9" * 30), ENTRY[:-1] + b',"Note":' + b"[" * 5000 + b"]" * 5000 + b"}",
    ],
)  # fmt: skip
def test_invalid_entry_does_not_affect_the_others(bad, capsys):
    # Guards against an entry written by another process that makes the whole list
    # unreadable, or gets callers' requests.
    store, fleet = ListedRows(), new_fleet()
    follower = ListFollower(
        store, "servers", discovery.decode_upstream, fleet.directory, LinkState("upstreams")
    )
    store.values = {"good": ENTRY, "bad": bad}
    follower.step()
    follower.step()
    assert [one.id for one in fleet.directory.usable("llm")] == ["good"]
    assert not fleet.directory.usable("unknown")
