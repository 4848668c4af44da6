"""An instance without updates and list reads requests reports from the upstreams."""

import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.own_reports import OwnReports
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.swaps.engine_report import EngineReport


def upstream(name, domain, *models):
    resident = {model: ResidentModel(model, 1, frozenset()) for model in models}
    return Upstream(
        name, "llm", "127.0.0.1", 1, domain, 64, False, None, resident, frozenset(), frozenset()
    )


class Reports:
    """Upstreams that answer with their resident models; the others are unreachable."""

    def __init__(self):
        self.resident_by_id = {}
        self.queried = []
        self.started_at_ms = None

    def request(self, upstream):
        self.queried.append(upstream.id)
        if upstream.id not in self.resident_by_id:
            return None
        resident = {model: frozenset() for model in self.resident_by_id[upstream.id]}
        return EngineReport(resident, frozenset(), False, 0, self.started_at_ms)


@pytest.fixture
def fleet():
    made = new_fleet()
    made.directory.replace([upstream("u0", "here", "a"), upstream("u1", "there", "b")])
    return made


@pytest.fixture
def reports():
    return Reports()


class ListReads:
    """Age of the list, and whether the last read of it failed."""

    def __init__(self):
        self.age = 60.0
        self.lost = True


@pytest.fixture
def list_reads():
    return ListReads()


@pytest.fixture
def own(fleet, reports, list_reads):
    return OwnReports(
        "here", fleet.directory, fleet.residency, list_reads, lambda _: True, reports.request
    )


def holders(fleet, model):
    return [one.id for one in fleet.directory.holders("llm", Unit(model))]


def test_models_swapped_while_cut_off_are_found(own, fleet, reports):
    # Guards against an instance that cannot reach the store and the leader for twelve
    # seconds, only the upstreams: after model swaps it would send requests to the former
    # holders, and refuse requests for models that are resident elsewhere.
    reports.resident_by_id = {"u0": ["c"], "u1": ["a"]}
    own.step()
    assert holders(fleet, "a") == ["u1"]
    assert holders(fleet, "c") == ["u0"]
    assert holders(fleet, "b") == []
    assert own.caller_retry_seconds < 0.1
    assert not own.domain_cut


def test_requests_wait_for_the_successor_of_a_silent_leader(own, reports, list_reads):
    # The leader is killed while the store is available: its successor learns within
    # seconds which requests wait. Guards against callers that are refused at once and find
    # other instances in the same state.
    reports.resident_by_id = {"u0": ["a"], "u1": ["b"]}
    list_reads.lost = False
    own.step()
    assert reports.queried
    assert own.caller_retry_seconds is None


def test_no_report_is_requested_with_a_leader_or_a_fresh_list(own, fleet, reports, list_reads):
    fleet.residency.replace({"u0": {"a": frozenset()}}, {})
    own.step()
    assert reports.queried == []
    fleet.residency._view = fleet.residency._view._replace(received_at=time.monotonic() - 5)
    list_reads.age = 0.3
    own.step()
    assert reports.queried == []


def test_list_that_is_read_less_often_causes_no_reports(fleet, reports, list_reads):
    # With four seconds in which a leaving upstream must get no more work, the list is read
    # less often. Guards against two hundred instances that query all upstreams whenever
    # the leader pauses, since the list is old: 45,000 calls, each over its own connection.
    own = OwnReports(
        "here", fleet.directory, fleet.residency, list_reads, lambda _: True, reports.request, 4.0
    )
    list_reads.lost, list_reads.age = False, 2.1
    own.step()
    assert reports.queried == []
    list_reads.lost = True
    own.step()
    assert reports.queried


def test_update_of_the_leader_replaces_an_older_report(own, fleet, reports):
    reports.resident_by_id = {"u0": ["c"]}
    own.step()
    fleet.residency.replace({"u0": {"d": frozenset()}}, {})
    assert holders(fleet, "d") == ["u0"]
    assert holders(fleet, "c") == []


def test_report_of_another_start_only_shows_that_the_upstream_is_reachable(own, fleet, reports):
    reports.resident_by_id, reports.started_at_ms = {"u0": ["c"], "u1": ["c"]}, 2
    own.step()
    assert holders(fleet, "c") == []
    assert not own.domain_cut


def test_domain_that_reaches_no_other_one_is_cut(own, fleet, reports, list_reads):
    # A failure domain cannot reach the others for six seconds. Its callers request models
    # that are resident only in other domains, so instances elsewhere serve them better.
    reports.resident_by_id = {"u0": ["a"]}
    own.step()
    assert own.domain_cut
    # An earlier retry would only reach another instance of the same domain.
    assert 1.0 < own.caller_retry_seconds < 3.0
    fleet.residency.replace({}, {})
    assert not own.domain_cut
    own.step()
    list_reads.age = 60.0
    assert not own.domain_cut


@pytest.mark.parametrize("answering", [{}, {"u0": ["a"], "u1": ["b"]}, {"u1": ["b"]}])
def test_outage_of_the_store_alone_is_no_cut_of_the_domain(own, reports, answering):
    # Guards against callers that reach no instance, because all of them leave the rotation
    # when the store is unavailable everywhere and there is no leader.
    reports.resident_by_id = answering
    own.step()
    assert not own.domain_cut
