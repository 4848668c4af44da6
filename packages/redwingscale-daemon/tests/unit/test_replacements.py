"""Units that an engine may unload while the plan is blocked."""

from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.plan import Plan, PlannedUnit
from redwingscale_daemon._internal.placement.replacements import Replacements
from redwingscale_daemon._internal.upstreams.directory import TOPIC, Directory

UNITS_BY_ENGINE = {"e1": ("last@v1", "spare@v1", "old@v1"), "e2": ("spare@v1",), "e3": ()}


def test_last_copy_of_a_model_is_never_unloaded():
    """Guards against `not_resident` answers for a listed model while the plan is blocked.

    The plan moves the units of e1 to e3, where loads fail repeatedly; after a timeout, e1
    may unload units without a replacement. These are only the unit that is also ready on
    e2, and the old version whose new version waits for its memory.
    """
    gossip = GossipState("i1")
    directory = Directory(gossip)
    directory.update_members(
        {e: EngineMember(e, "a", False, "http://x", "alder", 1, True, 5.0) for e in UNITS_BY_ENGINE}
    )
    for engine, units in UNITS_BY_ENGINE.items():
        residents = tuple(ResidentUnit(unit, 1, True) for unit in units)
        gossip.publish(TOPIC, engine, Digest(engine, 1, False, 10, residents, 0, 0, 8))
    planned = [PlannedUnit("last@v1", 1), PlannedUnit("spare@v1", 1)]
    plan = Plan(1, 1, {"e1": [PlannedUnit("old@v2", 1)], "e3": planned})
    replacements = Replacements(directory)

    ready = [replacements.are_ready(unit, plan) for unit in UNITS_BY_ENGINE["e1"]]
    spare = [
        replacements.may_unload_without_replacement(u, "e1", plan) for u in UNITS_BY_ENGINE["e1"]
    ]

    assert ready == [False, False, False]
    assert spare == [False, True, True]
