"""Updates of the list between instances of this release and of the one before."""

import time
from typing import NamedTuple

import msgspec
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.list_update import ListUpdate, make_list_update
from redwingscale_daemon._internal.fleet.list_update_tracker import ListUpdateTracker
from redwingscale_daemon._internal.fleet.residency import Residency
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.store.store_version import StoreVersion

FORMER_FIELDS = [
    (name, kind)
    for name, kind in Upstream.__annotations__.items()
    if name in Upstream._fields[: Upstream._fields.index("software")]
]
FormerUpstream = NamedTuple("FormerUpstream", FORMER_FIELDS)


class FormerUpdate(msgspec.Struct, array_like=True):
    changed: list[FormerUpstream]
    gone: list[str]
    age: float
    digest: int
    version: int


def listed(software):
    return Upstream(
        "u1", "llm", "127.0.0.1", 1, "z1", 64, False, None, {}, frozenset(), frozenset(),
        software=software,
    )  # fmt: skip


def test_former_release_decodes_an_update_with_software():
    """Guards against instances that drop the leader's updates while a release is rolled out."""
    encoded = msgspec.msgpack.encode(
        make_list_update([listed("v1")], ["u2"], 0.1, 7, StoreVersion(0, 3))
    )
    former = msgspec.msgpack.decode(encoded, type=FormerUpdate)
    assert former.changed[0] == FormerUpstream(*listed("v1")[: len(FORMER_FIELDS)])
    assert (former.gone, former.digest, former.version) == (["u2"], 7, 3)


def test_software_is_unknown_in_an_update_of_the_former_release():
    """Guards against a worker that is taken for one of another version."""
    former = FormerUpdate([FormerUpstream(*listed("v1")[: len(FORMER_FIELDS)])], [], 0.1, 7, 3)
    update = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=ListUpdate)
    assert [one.software for one in update.upstreams()] == [None]


def test_update_without_software_leaves_what_the_list_has_told():
    """Guards against a known version that a leader of the release before makes unknown."""
    directory = UpstreamDirectory(Residency(), Changes())
    directory.replace([listed("v1")], StoreVersion(0, 1))
    tracker = ListUpdateTracker(directory)
    former = [listed(None)._replace(leaving=True), listed(None)._replace(id="u2", named="u2")]
    tracker.take(1, ListUpdate(former, [], 0.0, 7, 2))
    software = {one.id: one.software for one in directory.all()}
    assert software == {"u1": "v1", "u2": None}
    assert directory.get("u1").leaving


def test_list_is_read_here_while_a_version_is_unknown():
    directory = UpstreamDirectory(Residency(), Changes())
    tracker = ListUpdateTracker(directory)
    for software, replaces in ((None, False), ("v1", True)):
        directory.replace([listed(software)], StoreVersion(0, 1))
        tracker.take(1, ListUpdate([], [], 0.0, directory.copy.digest, 1))
        assert tracker.replaces_read(time.monotonic()) is replaces


def test_software_is_told_with_the_list():
    one, other = listed("v1"), listed(None)._replace(id="u2")
    update = make_list_update([one, other], [], 0.1, 7, StoreVersion(2, 3))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=ListUpdate)
    assert {one.id: one.software for one in received.upstreams()} == {"u1": "v1", "u2": None}
    assert received.version == StoreVersion(2, 3)
    assert {one.row_version.era for one in received.upstreams()} == {2}
