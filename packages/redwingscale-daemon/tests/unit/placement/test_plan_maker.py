"""Consecutive plans, carried out by simulated engines."""

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


def test_plan_stays_the_same_without_changes(example, make_fleet):
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    moves = fleet.moves

    for _ in range(50):
        fleet.step()

    assert fleet.moves == moves


def test_lost_engine_moves_only_its_replicas(example, make_fleet):
    """Guards against reloads on all engines after one of them is lost.

    The models of a lost engine are served by their second replicas. Only the lost replicas
    may be loaded again; a placement from scratch would reload models on every engine.
    """
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    lost, moves = len(fleet.residents_by_engine["e0"]), fleet.moves

    fleet.lose("e0")
    fleet.settle()

    assert fleet.single_domain_models() == []
    assert fleet.moves - moves <= lost


def test_short_silence_moves_nothing(example, make_fleet):
    """Guards against needless reloads when the owner of an engine restarts.

    The digest is not published for some seconds. If the engine counted as lost, tens of
    gigabytes would be loaded again.
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


def test_planner_without_a_digest_of_an_engine_unloads_nothing_there(
    example, make_fleet, new_version
):
    """Guards against an unload of the only ready version of a model.

    A new instance becomes planner while a new version loads, before it has received any
    digest. It does not know that the old version is ready; a plan without that version
    would make the owner unload it.
    """
    fleet = make_fleet(example("izmir"), *IZMIR[1:])
    fleet.settle()
    fleet.configuration = new_version(fleet.configuration, "fraud-screen", "v2")
    fleet.stalled = set(fleet.domains)
    fleet.step()
    before = fleet.ready_on("fraud-screen@v1")

    fleet.availability = dict.fromkeys(fleet.domains, Availability.SILENT)
    fleet.step()

    assert before
    assert fleet.ready_on("fraud-screen@v1") == before


def test_engine_whose_loads_never_end_does_not_block_other_loads(example, make_fleet):
    """Guards against an engine that starts every load and never finishes one.

    If its loads counted against the limit of the weight store forever, no other engine
    would load anything again.
    """
    fleet = make_fleet(example("izmir", limited=True), *IZMIR[1:])
    fleet.stalled = {"e0"}
    for _ in range(400):
        fleet.step()

    units = [str(u) for u in fleet.configuration.serving_units()]
    assert sum(bool(fleet.ready_on(u)) for u in units) > 0.7 * len(units)


def test_first_replicas_replace_second_ones(example, make_fleet):
    """Guards against models without any replica after engines are lost.

    The remaining engines have memory for one replica of each model. Second replicas that
    stayed would leave other models unreachable.
    """
    fleet = make_fleet(example("izmir"), *IZMIR[1:])
    fleet.settle()

    for engine in ("e0", "e3"):
        fleet.lose(engine)
    fleet.settle()

    units = [str(u) for u in fleet.configuration.serving_units()]
    assert [u for u in units if not fleet.ready_on(u)] == []


def test_models_with_demand_are_placed_first_if_not_all_fit(example, make_fleet):
    fleet = make_fleet(example("izmir"), "ab", 144.0)
    fleet.demand(fraud_screen=5.0, citizen_helper=4.0)

    for _ in range(60):
        fleet.step()

    assert fleet.ready_on("fraud-screen@v1")
    assert fleet.ready_on("citizen-helper@v1")


@pytest.mark.parametrize(("name", "domains", "memory"), [IZMIR, ACCRA])
def test_new_version_is_ready_before_the_old_one_is_unloaded(
    example, make_fleet, new_version, unit, name, domains, memory
):
    """Guards against a gap in service when operators serve a new version of a model.

    The old version must stay ready until the new one is; if it were unloaded first, the
    model would not be served while the new version loads.
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
    assert not any("@v1" in u for units in fleet.residents_by_engine.values() for u in units)


@pytest.mark.parametrize("seed", range(12))
def test_no_model_is_ever_without_a_ready_replica(example, make_fleet, seed):
    """Guards against models without a ready replica while the plan changes.

    Demand changes tenfold at random and loads take random times. The simulated engines
    assert their memory limit at every step.
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


def test_first_replicas_are_loaded_first_within_the_load_limit(example, make_fleet):
    """Guards against an overload of the weight store at a cold start, and a slow one.

    No model is resident, and the store allows seven concurrent loads. First replicas are
    loaded first, so that each model is ready as early as possible.
    """
    rng = random.Random(3)
    fleet = make_fleet(example("izmir", limited=True), *IZMIR[1:])
    models = len(fleet.configuration.models_by_name)
    bases: list[str] = []
    while len(bases) < models:
        fleet.step(rng)
        bases_resident = [
            u for units in fleet.residents_by_engine.values() for u in units if ":" not in u
        ]
        bases += [u for u in bases_resident if u not in bases]
        assert len(bases_resident) <= len(set(bases_resident)) + 1 or len(bases) == models

    for _ in range(300):
        fleet.step(rng)

    assert fleet.most_loading <= fleet.configuration.weight_store.concurrent_loads
    assert fleet.single_domain_models() == []


def test_high_demand_adds_replicas(example, make_fleet):
    fleet = make_fleet(example("accra"), *ACCRA[1:])
    fleet.settle()
    hot = next(iter(fleet.configuration.models_by_name))

    fleet.demand(**{hot.replace("-", "_"): 40.0})
    fleet.settle()

    assert len(fleet.ready_on(f"{hot}@v1")) > 2
    assert fleet.single_domain_models() == []


def test_high_demand_adds_no_replicas_if_moves_are_forbidden(example, make_fleet):
    configuration = example("accra")
    policy = configuration.policy._replace(moves_weight=1.0)
    fleet = make_fleet(configuration._replace(policy=policy), *ACCRA[1:])
    fleet.settle()
    moves = fleet.moves

    fleet.demand(**{next(iter(configuration.models_by_name)).replace("-", "_"): 40.0})
    fleet.settle()

    assert fleet.moves == moves


def test_alternating_demand_does_not_move_replicas_back_and_forth(example, make_fleet):
    """Guards against loads and unloads at each change of demand.

    Three models take turns in getting ten times their usual demand. The replicas of the
    first turns can serve the later ones as well; 45 moves in all are enough.
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
