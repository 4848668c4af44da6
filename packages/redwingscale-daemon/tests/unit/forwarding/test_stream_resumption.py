"""Streams that callers take up, by what is known of their begin."""

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.forwarding.stream_origins import (
    MAX_ENTRIES,
    OriginEntry,
    StreamOrigins,
    origin_key,
)
from redwingscale_daemon._internal.forwarding.stream_resumption import StreamResumption
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService


class Peers:
    """The other instances: ``known`` entries by key, and what they were told and asked."""

    def __init__(self):
        self.known, self.told, self.asked = {}, [], []

    def tell(self, entry):
        self.told.append(entry)

    def ask(self, key):
        self.asked.append(key)
        return self.known.get(key)


class Versions:
    """Two versions serve, unless ``only`` names one."""

    def __init__(self):
        self.only, self.listed, self.known_seconds = None, {"v1", "v1.1"}, 100.0

    def sole(self, service):
        return self.only

    def remembered(self, service):
        return self.listed

    def is_gone(self, service, software):
        return software not in self.listed


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def versions():
    return Versions()


@pytest.fixture
def origins(peers):
    return StreamOrigins(peers, lambda: 40.0)


@pytest.fixture
def results():
    return []


@pytest.fixture
def resumption(origins, versions, results):
    return StreamResumption(origins, versions, results.append)


def route(*services, kind=Idempotency.STREAM):
    shares = tuple(WeightedService(name, 1.0) for name in services or ("llm",))
    return Route("live", "h", "/", kind, 10.0, 1.0, 0, shares, 3, True, 0.4)


def terms(last_event=3, resumes="first", request="second"):
    return Terms(request, None, None, last_event, resumed_request=resumes)


def refused(resumption, *arguments):
    with pytest.raises(Refusal) as raised:
        resumption.find(*arguments)
    assert raised.value.status == 503
    return raised.value.code


def test_stream_goes_on_at_the_version_that_another_instance_told(resumption, origins, results):
    origins.receive([OriginEntry(origin_key("clerks", "first"), "llm", "v1.1", 0.5)])
    found = resumption.find(route(), terms(), "clerks")
    assert (found.service, found.software, found.source) == ("llm", "v1.1", "peer")
    assert results == ["peer"]


def test_instance_that_does_not_know_asks_the_others(resumption, peers):
    key = origin_key("", "first")
    peers.known[key] = OriginEntry(key, "llm", "v1", 2.0)
    assert resumption.find(route(), terms(), "").software == "v1"
    assert resumption.find(route(), terms(), "").source == "peer"
    assert peers.asked == [key]


@pytest.mark.parametrize("resumes", ["unheard-of", None, "", "second", "x" * 201])
def test_stream_that_nobody_knows_is_refused_while_two_versions_serve(resumption, resumes):
    """Guards against a version that is guessed; the last three name no other request."""
    assert refused(resumption, route(), terms(resumes=resumes), "") == "stream_unknown"


def test_stream_that_nobody_knows_goes_on_if_there_is_one_version(resumption, versions, peers):
    versions.only = "v1"
    found = resumption.find(route(), terms(), "")
    assert (found.software, found.source) == ("v1", "sole")
    assert peers.asked == [origin_key("", "first")]


def test_what_another_instance_knows_goes_before_the_only_version_listed(
    resumption, versions, peers
):
    """Guards against a list here that lacks a version which joined a moment ago."""
    versions.only = "v1"
    key = origin_key("", "first")
    peers.known[key] = OriginEntry(key, "llm", "v1.1", 0.2)
    assert resumption.find(route(), terms(), "").software == "v1.1"


def test_only_version_of_a_list_that_is_not_confirmed_is_not_used(origins, versions):
    """Guards against an instance cut off from the store that takes its list for current."""
    versions.only = "v1"
    resumption = StreamResumption(origins, versions, confirm_list=lambda: False)
    assert refused(resumption, route(), terms(), "") == "stream_unknown"


def test_version_that_the_confirmed_list_names_beside_the_former_one_is_not_guessed(
    origins, versions
):
    """Guards against a version that was read before the list was confirmed."""
    versions.only = "v1"

    def confirm():
        versions.only = None
        return True

    resumption = StreamResumption(origins, versions, confirm_list=confirm)
    assert refused(resumption, route(), terms(), "") == "stream_unknown"


def test_caller_of_another_workspace_learns_nothing(resumption, origins):
    """Guards against an id that is used as a key."""
    origins.note("clerks", "first", "llm", "v1", tell=False)
    assert refused(resumption, route(), terms(), "others") == "stream_unknown"
    unknown = refused(resumption, route(), terms(resumes="never"), "others")
    assert unknown == "stream_unknown"


def test_version_that_no_upstream_has_any_more_is_refused_at_once(resumption, origins, versions):
    origins.note("", "first", "llm", "v0", tell=False)
    assert refused(resumption, route(), terms(), "") == "software_gone"


def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it(resumption, origins):
    """Guards against a take-up whose service is drawn anew."""
    origins.note("", "first", "second-llm", "v1", tell=False)
    found = {resumption.find(route("llm", "second-llm"), terms(), "").service for _ in range(20)}
    assert found == {"second-llm"}


def test_stream_whose_service_the_route_has_lost_is_refused(resumption, origins):
    origins.note("", "first", "old-llm", "v1", tell=False)
    assert refused(resumption, route("llm"), terms(), "") == "service_changed"


def test_split_route_with_one_version_each_is_not_guessed(resumption, versions):
    versions.only = "v1"
    assert refused(resumption, route("llm", "second-llm"), terms(), "") == "stream_unknown"


def test_new_stream_and_plain_request_are_free(resumption):
    assert resumption.find(route(), terms(last_event=None), "") is None
    plain = route(kind=Idempotency.IDEMPOTENT)
    assert resumption.find(plain, terms(), "") is None


def test_entries_are_bounded_and_forgotten(peers):
    now = [0.0]
    origins = StreamOrigins(peers, lambda: 40.0, clock=lambda: now[0])
    for number in range(MAX_ENTRIES + 10):
        origins.note("", f"r{number}", "llm", "v1", tell=False)
    assert origins.known("", "r0") is None
    assert origins.known("", f"r{MAX_ENTRIES}") is not None
    now[0] = 41.0
    assert origins.known("", f"r{MAX_ENTRIES}") is None
