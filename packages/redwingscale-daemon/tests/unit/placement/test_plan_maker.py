"""Plans made one after another against engines that carry them out."""

import random

import pytest
from redwingscale_daemon._internal.placement.engine_room import Availability

IZMIR = ("izmir", "abcab", 144.0)
ACCRA = ("accra", "abcabcabc", 144.0)


@pytest.mark.parametrize(("name", "domains", "memory"), [IZMIR, ACCRA])
def test_every_model_is_resident_in_two_failure_domains(example, make_fleet, name, domains, memory):
    fleet = make_fleet(example(name), domains, memory)

    fleet.settle()

    assert fleet.single_domain_models() == []


def test_a_plan_that_need_not_change_does_not(example, make_fleet):
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    moves = fleet.moves

    for _ in range(50):
        fleet.step()

    assert fleet.moves == moves


def test_lost_engine_moves_only_what_it_held(example, make_fleet):
    """An engine dies for good.

    Its models answer from their second replicas. Packing all anew would reload
    models on every engine; only the lost replicas may be loaded again.
    """
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    lost, moves = len(fleet.held["e0"]), fleet.moves

    fleet.lose("e0")
    fleet.settle()

    assert fleet.single_domain_models() == []
    assert fleet.moves - moves <= lost


def test_a_short_silence_moves_nothing(example, make_fleet):
    """An engine's owner restarts, and its digest stops for some seconds.

    Taking this for a loss would reload tens of gigabytes for nothing.
    """
    fleet = make_fleet(example("izmir"), *IZMIR[1:])
    fleet.settle()
    moves = fleet.moves

    fleet.availability["e0"] = Availability.SILENT
    for _ in range(5):
        fleet.step()
    del fleet.availability["e0"]
    fleet.settle()

    assert fleet.moves == moves


def test_a_planner_that_has_not_heard_of_an_engine_takes_nothing_from_it(
    example, make_fleet, new_version
):
    """A new instance becomes planner while a new version loads; no digest has come yet.

    It does not know that the old version answers there. A plan without it would
    make the owner unload the only one that answers.
    """
    fleet = make_fleet(example("izmir"), *IZMIR[1:])
    fleet.settle()
    fleet.configuration = new_version(fleet.configuration, "fraud-screen", "v2")
    fleet.broken = set(fleet.domains)
    fleet.step()
    before = fleet.ready_on("fraud-screen@v1")

    fleet.availability = dict.fromkeys(fleet.domains, Availability.SILENT)
    fleet.step()

    assert before
    assert fleet.ready_on("fraud-screen@v1") == before


def test_an_engine_whose_loads_never_end_does_not_close_the_gate(example, make_fleet):
    """An engine takes every load and never finishes one.

    Were its loads to count for ever against the store's limit, no other engine
    would load anything again.
    """
    fleet = make_fleet(example("izmir", limited=True), *IZMIR[1:])
    fleet.broken = {"e0"}
    for _ in range(400):
        fleet.step()

    units = [str(u) for u in fleet.configuration.serving_units()]
    assert sum(bool(fleet.ready_on(u)) for u in units) > 0.7 * len(units)


def test_first_replicas_take_the_room_of_spare_ones(example, make_fleet):
    """Half of the engines go away; what is left holds each model just once.

    Second replicas that kept their room would leave other models unreachable.
    """
    fleet = make_fleet(example("izmir"), *IZMIR[1:])
    fleet.settle()

    for engine in ("e0", "e3"):
        fleet.lose(engine)
    fleet.settle()

    units = [str(u) for u in fleet.configuration.serving_units()]
    assert [u for u in units if not fleet.ready_on(u)] == []


def test_what_cannot_fit_is_left_out_by_demand(example, make_fleet):
    fleet = make_fleet(example("izmir"), "ab", 144.0)
    fleet.demand(fraud_screen=5.0, citizen_helper=4.0)

    for _ in range(60):
        fleet.step()

    assert fleet.ready_on("fraud-screen@v1")
    assert fleet.ready_on("citizen-helper@v1")


@pytest.mark.parametrize(("name", "domains", "memory"), [IZMIR, ACCRA])
def test_new_version_is_ready_before_the_old_one_goes(
    example, make_fleet, new_version, unit, name, domains, memory
):
    """Operators serve a new version of each model, one text after the other.

    The old version must answer until the new one is ready; dropping it first
    leaves the callers of that model without an answer for the load's time.
    """
    rng = random.Random(7)
    fleet = make_fleet(example(name), domains, memory)
    fleet.settle()
    for model in list(fleet.configuration.models_by_name):
        fleet.configuration = new_version(fleet.configuration, model, "v2")
        for _ in range(40):
            fleet.step(rng)
            assert fleet.ready_on(unit(model)) | fleet.ready_on(unit(model, "v2")), model

    fleet.settle()
    assert fleet.single_domain_models() == []
    assert not any("@v1" in u for held in fleet.held.values() for u in held)


@pytest.mark.parametrize("seed", range(12))
def test_no_model_is_ever_without_a_ready_replica(example, make_fleet, seed):
    """Demand moves tenfold at random while loads take random times.

    The memory bound is asserted by the engines at every step.
    """
    rng = random.Random(seed)
    fleet = make_fleet(example(rng.choice(["izmir", "accra"])), "abcabcabc", 110.0)
    fleet.settle()
    units = [str(u) for u in fleet.configuration.serving_units()]

    for _ in range(60):
        if rng.random() < 0.2:
            hot = rng.choice(list(fleet.configuration.models_by_name))
            fleet.demand(**{hot.replace("-", "_"): rng.choice([0.5, 5.0, 50.0])})
        fleet.step(rng)
        assert [u for u in units if not fleet.ready_on(u)] == []

    fleet.settle()
    assert fleet.single_domain_models() == []


def test_loads_pass_the_gate_in_order(example, make_fleet):
    """At a cold start all is missing; the store bears seven loads at once.

    First replicas go first, so that each model answers as soon as can be.
    """
    rng = random.Random(3)
    fleet = make_fleet(example("izmir", limited=True), *IZMIR[1:])
    models = len(fleet.configuration.models_by_name)
    bases: list[str] = []
    while len(bases) < models:
        fleet.step(rng)
        held = [u for units in fleet.held.values() for u in units if ":" not in u]
        bases += [u for u in held if u not in bases]
        assert len(held) <= len(set(held)) + 1 or len(bases) == models

    for _ in range(300):
        fleet.step(rng)

    assert fleet.most_loading <= fleet.configuration.weight_store.concurrent_loads
    assert fleet.single_domain_models() == []


def test_demand_that_is_worth_it_gets_further_replicas(example, make_fleet):
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    hot = next(iter(fleet.configuration.models_by_name))

    fleet.demand(**{hot.replace("-", "_"): 40.0})
    fleet.settle()

    assert len(fleet.ready_on(f"{hot}@v1")) > 2
    assert fleet.single_domain_models() == []


def test_demand_that_is_not_worth_its_moves_gets_none(example, make_fleet):
    configuration = example("accra")
    policy = configuration.policy._replace(moves_weight=1.0)
    fleet = make_fleet(configuration._replace(policy=policy), *ACCRA[1:])
    fleet.settle()
    moves = fleet.moves

    fleet.demand(**{next(iter(configuration.models_by_name)).replace("-", "_"): 40.0})
    fleet.settle()

    assert fleet.moves == moves


def test_demand_that_comes_and_goes_does_not_make_replicas_do_so(example, make_fleet):
    """Three models take turns in being asked for ten times as much as usual.

    Following each turn would load and unload at every one of them; the replicas
    of the first turns serve the later ones too. Measured: 45 moves in all.
    """
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    moves = fleet.moves
    models = [m.replace("-", "_") for m in list(fleet.configuration.models_by_name)[:3]]

    for turn in range(20):
        fleet.demand(**dict.fromkeys(models, 4.0) | {models[turn % 3]: 40.0})
        if turn == 10:
            first_turns = fleet.moves
        for _ in range(10):
            fleet.step()

    assert 0 < fleet.moves - moves <= 50
    assert fleet.moves == first_turns
