"""An instance that nobody tells anything asks the upstreams themselves."""

import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.own_reports import OwnReports
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.swaps.engine_report import EngineReport


def upstream(name, domain, *models):
    held = {model: ResidentModel(model, 1, frozenset()) for model in models}
    return Upstream(
        name, "llm", "127.0.0.1", 1, domain, 64, False, None, held, frozenset(), frozenset()
    )


class Reports:
    """Upstreams that answer, by what they hold; the others are out of reach."""

    def __init__(self):
        self.held_by_id = {}
        self.asked = []
        self.started_at_ms = None

    def ask(self, upstream):
        self.asked.append(upstream.id)
        if upstream.id not in self.held_by_id:
            return None
        held = {model: frozenset() for model in self.held_by_id[upstream.id]}
        return EngineReport(held, frozenset(), False, 0, self.started_at_ms)


@pytest.fixture
def fleet():
    made = new_fleet()
    made.directory.replace([upstream("u0", "here", "a"), upstream("u1", "there", "b")])
    return made


@pytest.fixture
def reports():
    return Reports()


class ListReads:
    """How old the list is, and whether the last read of it failed."""

    def __init__(self):
        self.age = 60.0
        self.lost = True


@pytest.fixture
def list_reads():
    return ListReads()


@pytest.fixture
def own(fleet, reports, list_reads):
    return OwnReports(
        "here", fleet.directory, fleet.residency, list_reads, lambda _: True, reports.ask
    )


def holders(fleet, model):
    return [one.id for one in fleet.directory.holders("llm", Unit(model))]


def test_models_that_moved_while_cut_off_are_found(own, fleet, reports):
    # An instance loses the store and the order giver, not the upstreams. Models move in
    # these twelve seconds: requests went where the models had been, and were refused
    # where upstreams held them.
    reports.held_by_id = {"u0": ["c"], "u1": ["a"]}
    own.step()
    assert holders(fleet, "a") == ["u1"]
    assert holders(fleet, "c") == ["u0"]
    assert holders(fleet, "b") == []
    assert own.caller_retry_seconds < 0.1
    assert not own.domain_cut


def test_giver_that_falls_silent_is_waited_for(own, reports, list_reads):
    # The order giver is killed and the store is there: the next giver hears of what waits
    # within seconds. Sent away at once, callers met other instances in the same state.
    reports.held_by_id = {"u0": ["a"], "u1": ["b"]}
    list_reads.lost = False
    own.step()
    assert reports.asked
    assert own.caller_retry_seconds is None


def test_nobody_is_asked_while_the_giver_or_the_list_tells(own, fleet, reports, list_reads):
    fleet.residency.replace({"u0": {"a": frozenset()}}, {})
    own.step()
    assert reports.asked == []
    fleet.residency._view = fleet.residency._view._replace(received_at=time.monotonic() - 5)
    list_reads.age = 0.3
    own.step()
    assert reports.asked == []


def test_a_list_that_is_read_less_often_is_no_cut(fleet, reports, list_reads):
    # The deployment gives four seconds to keep away from what leaves, so the list is read
    # less often there. In each pause of the order giver its age had two hundred instances
    # ask all upstreams for seconds: 45,000 calls, each over a connection of its own.
    own = OwnReports(
        "here", fleet.directory, fleet.residency, list_reads, lambda _: True, reports.ask, 4.0
    )
    list_reads.lost, list_reads.age = False, 2.1
    own.step()
    assert reports.asked == []
    list_reads.lost = True
    own.step()
    assert reports.asked


def test_word_of_the_giver_after_a_report_counts(own, fleet, reports):
    reports.held_by_id = {"u0": ["c"]}
    own.step()
    fleet.residency.replace({"u0": {"d": frozenset()}}, {})
    assert holders(fleet, "d") == ["u0"]
    assert holders(fleet, "c") == []


def test_report_of_another_start_tells_nothing_but_that_it_is_reached(own, fleet, reports):
    reports.held_by_id, reports.started_at_ms = {"u0": ["c"], "u1": ["c"]}, 2
    own.step()
    assert holders(fleet, "c") == []
    assert not own.domain_cut


def test_domain_that_reaches_no_other_one_is_cut(own, fleet, reports, list_reads):
    # A failure domain loses the others for six seconds; its callers still come, and ask
    # for models that only workers of other domains hold. They are better off through
    # instances elsewhere.
    reports.held_by_id = {"u0": ["a"]}
    own.step()
    assert own.domain_cut
    # At once they would only meet another instance of the same domain.
    assert 1.0 < own.caller_retry_seconds < 3.0
    fleet.residency.replace({}, {})
    assert not own.domain_cut
    own.step()
    list_reads.age = 60.0
    assert not own.domain_cut


@pytest.mark.parametrize("answering", [{}, {"u0": ["a"], "u1": ["b"]}, {"u1": ["b"]}])
def test_outage_of_the_store_alone_is_no_cut_of_the_domain(own, reports, answering):
    # The store is away for all and no giver is left: if all instances left the rotation
    # then, callers would reach nobody.
    reports.held_by_id = answering
    own.step()
    assert not own.domain_cut
