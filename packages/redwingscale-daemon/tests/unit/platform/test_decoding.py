"""Decoding of the users' platform's documents and headers, and encoding of orders."""

import msgspec
import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.platform import configuration, discovery, engine, exchange
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.order import Load, Order, OrderResult, Unload
from redwingscale_daemon._internal.workspaces.keys import key_digest
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

DOCUMENT = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1", "Host": "A.example", "Prefix": "/p/", "Kind": "streaming",
            "TimeoutMs": 4000, "TargetLatencyMs": 600, "Priority": 1, "MaxAttempts": 2,
            "TrafficSplit": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
            "Resumable": True, "GapTargetMs": 400, "Unknown": 1,
        },
        {"Name": "r2", "Host": "a.example", "Prefix": "/q/", "Kind": "unsafe",
         "TimeoutMs": 1000, "Service": "s2"},
    ],
    "Services": [
        {"Name": "s1", "MaxConns": 360, "Engine": {
            "Slots": 64, "KvCapacity": 1000, "WeightsMb": 200.0, "AdapterSlots": 5,
            "LoadsPerS": 2.1, "HostMb": 140.0, "DiskMb": 400.0, "Stride": 2, "Models": [
                {"Name": "m", "WeightsMb": 65.0, "LoadS": 5.8, "Adapters": 3, "AdapterMb": 1.0,
                 "WarmS": 0.5, "DiskS": 1.2}]}},
        {"Name": "s2"},
    ],
}  # fmt: skip


def test_configuration():
    table = configuration.decode_configuration(msgspec.json.encode(DOCUMENT))
    stream, once = table.find("a.example", "/p/x"), table.find("a.example", "/q/x")
    assert table.version == 7
    assert stream.idempotency is Idempotency.STREAM
    assert [(s.service, s.weight) for s in stream.services] == [("s1", 90), ("s2", 10)]
    assert (stream.time_limit_seconds, stream.longest_gap_seconds) == (4.0, 0.4)
    assert once.idempotency is Idempotency.AT_MOST_ONCE
    assert once.most_upstreams == 1
    engine_rule = table.services_by_name["s1"].engine
    copies = (engine_rule.memory_copies_mb, engine_rule.disk_copies_mb)
    assert (copies, engine_rule.tokens_per_event) == ((140.0, 400.0), 2)
    model = engine_rule.models_by_name["m"]
    assert (model.cold_seconds, model.disk_seconds, model.memory_seconds) == (5.8, 1.2, 0.5)


TENANTS = [
    {"Name": "a", "ApiKeys": ["k1", "k2"], "Priority": 1, "Unit": "token_stream",
     "PlainTokens": 200, "RatePerS": 300, "Burst": 400},
    {"Name": "b", "ApiKeys": ["k3"], "RatePerS": 5},
    {"Name": "c", "ApiKeys": ["k4"]},
]  # fmt: skip


def decoded_with(**changes):
    document = msgspec.json.encode({**DOCUMENT, **changes})
    return configuration.decode_configuration(document)


def test_workspaces_are_found_by_the_digest_of_a_key():
    keys = decoded_with(Tenants=TENANTS).keys
    found = [keys.find(key_digest(key)) for key in ("k1", "k2", "k3", "k4", "k5")]
    limit = UseLimit(UseUnit.TOKENS, 300, 400, 200)
    assert found[:2] == [Workspace("a", 1, limit)] * 2
    assert found[2:] == [
        Workspace("b", 0, UseLimit(UseUnit.REQUESTS, 5, 0)),
        Workspace("c", 0, None),
        None,
    ]


def test_no_key_is_required_without_a_list_of_workspaces():
    assert decoded_with().keys is None
    assert decoded_with(Tenants=[]).keys is not None


@pytest.mark.parametrize(
    "tenants",
    [
        [{"Name": "a"}],
        [{"Name": "a", "ApiKeys": "k-secret"}],
        [{"Name": "a", "ApiKeys": ["k-secret"], "RatePerS": "fast"}],
        [{"Name": "a", "ApiKeys": ["k-secret"]}, {"Name": "b", "ApiKeys": ["k-secret"]}],
    ],
)
def test_malformed_list_of_workspaces_rejects_the_version(tenants):
    """Guards against a version that admits fewer or other callers than its author intended."""
    with pytest.raises(msgspec.DecodeError) as raised:
        decoded_with(Tenants=tenants)
    assert "k-secret" not in str(raised.value)


@pytest.mark.parametrize(("tokens", "cost"), [("1460,80", 1540.0), ("1460", 1460.0), (None, 200.0)])
def test_cost_of_a_request_in_tokens(tokens, cost):
    headers = (("X-Redwingscale-Request-Id", "r"),)
    if tokens is not None:
        headers += (("X-Redwingscale-Token-Usage", tokens),)
    request = IngressRequest("GET", "/", "a", headers, 0.0, None)
    terms = exchange.read_terms(request)
    assert UseLimit(UseUnit.TOKENS, 1, 1, 200.0).cost(terms.tokens) == cost
    assert UseLimit(UseUnit.REQUESTS, 1, 1).cost(terms.tokens) == 1.0


@pytest.mark.parametrize("value", ["\xb2", "+1", "9" * 5000])
def test_last_event_that_is_no_number_is_none(value):
    """Guards against a request that fails for a number that is none."""
    headers = (("X-Redwingscale-Request-Id", "r"), ("Last-Event-Id", value))
    assert (
        exchange.read_terms(IngressRequest("GET", "/", "a", headers, 0.0, None)).last_event is None
    )


@pytest.mark.parametrize("kind", ["keyed", "new-kind"])
def test_unknown_kind_of_route_runs_at_most_once(kind):
    """Guards against a request running twice because a later version introduced its kind."""
    document = {**DOCUMENT, "Routes": [{**DOCUMENT["Routes"][1], "Kind": kind}]}
    table = configuration.decode_configuration(msgspec.json.encode(document))
    assert table.find("a.example", "/q/").idempotency is Idempotency.AT_MOST_ONCE


def test_upstream_entry():
    entry = {
        "Service": "s1", "Address": "10.0.0.9:8080", "Zone": "z", "Version": "v1", "Slots": 64,
        "State": "draining", "RemainingMs": 1500, "Seq": 4, "ColdLeftMs": 0, "born": 1700000000123,
        "Models": [{"Name": "m", "Version": 2, "Adapters": ["a1"]}],
        "AtHand": {"InMemory": ["m"], "OnDisk": ["m", "n"]},
    }  # fmt: skip
    upstream = discovery.decode_upstream("i-1", StoreVersion(2, 9), msgspec.json.encode(entry))
    assert upstream.id != upstream.platform_name == "i-1"
    assert upstream.address == ("10.0.0.9", 8080)
    assert (upstream.leaving, upstream.seconds_left) == (True, 1.5)
    assert upstream.models_by_name["m"].adapters == {"a1"}
    assert upstream.on_disk == {"m", "n"}
    assert upstream.row_version == StoreVersion(2, 9)


@pytest.mark.parametrize(
    "document",
    [b"{", b"\xff\xfe", b"[]", b'{"Service":"s"}', b'{"Service":"s","Address":"x","Zone":"z"}'],
)
def test_malformed_upstream_entry_is_rejected(document):
    with pytest.raises(msgspec.DecodeError):
        discovery.decode_upstream("i-1", StoreVersion(0, 1), document)


ENTRY = {
    "Service": "s1", "Address": "10.0.0.9:8080", "Zone": "z", "Version": "v1", "Slots": 64,
    "State": "ready", "ColdLeftMs": 0, "Seq": 4,
}  # fmt: skip


@pytest.mark.parametrize("field", sorted(ENTRY))
def test_entry_that_lacks_a_field_is_rejected(field):
    """Guards against requests to an upstream from another writer's entry.

    Its address may be no upstream's, or its process may take no new work without saying so.
    """
    lacking = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(msgspec.DecodeError):
        discovery.decode_upstream("i-1", StoreVersion(0, 1), msgspec.json.encode(lacking))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("State", "warming"), ("State", None), ("Service", ""), ("Service", 3), ("Slots", 0),
        ("Slots", "64"), ("Slots", True), ("Seq", -1), ("Seq", "4"), ("Zone", []),
        ("ColdLeftMs", "soon"), ("Version", 1), ("Models", {}), ("AtHand", []),
        ("born", "1700000000123"), ("born", 1.5), ("Address", "10.0.0.9"), ("Address", ":80"),
        ("Address", "10.0.0.9:0"), ("Address", "10.0.0.9:70000"), ("Address", "10.0.0:80"),
        ("Address", "10.0.0.9:1_0"), ("Address", "10.0.0.9:+80"), ("Address", "10.0.0.9: 80"),
        ("Address", "10.0.0.9:\u0668\u0660"), ("Address", "10.0.0.9:" + "8" * 5000),
    ],
)  # fmt: skip
def test_entry_with_an_invalid_value_is_rejected(field, value):
    with pytest.raises(msgspec.DecodeError):
        discovery.decode_upstream(
            "i-1", StoreVersion(0, 1), msgspec.json.encode({**ENTRY, field: value})
        )


LARGE = msgspec.Raw(b"9" * 30)
LARGE_MODEL = msgspec.Raw(b'[{"Name":"m","Version":%s}]' % bytes(LARGE))
NESTED = msgspec.Raw(b"[" * 5000 + b"]" * 5000)


@pytest.mark.parametrize(
    ("field", "value"),
    [("Slots", LARGE), ("Seq", LARGE), ("born", LARGE), ("Models", LARGE_MODEL), ("Note", NESTED)],
)
def test_entry_that_fits_into_no_message_is_rejected(field, value):
    """Guards against an entry that ends the read of the list, or the updates to instances."""
    with pytest.raises(msgspec.DecodeError):
        discovery.decode_upstream(
            "i-1", StoreVersion(0, 1), msgspec.json.encode({**ENTRY, field: value})
        )


@pytest.mark.parametrize(
    ("field", "value"),
    [("Seq", LARGE), ("born", LARGE), ("Models", LARGE_MODEL), ("Note", NESTED)],
)
def test_report_that_fits_into_no_message_is_rejected(field, value):
    """Guards against a report that ends the follower of its worker."""
    with pytest.raises(msgspec.DecodeError):
        engine.decode_report(msgspec.json.encode({"Models": [], "Seq": 1, field: value}))


@pytest.mark.parametrize(("field", "value"), [("Version", LARGE), ("Note", NESTED)])
def test_configuration_that_fits_into_no_message_is_rejected(field, value):
    """Guards against a version that ends the follower of the configuration."""
    with pytest.raises(msgspec.DecodeError):
        decoded_with(**{field: value})


def test_two_starts_of_a_process_are_two_upstreams():
    starts = [
        discovery.decode_upstream(
            "i-1", StoreVersion(0, number), msgspec.json.encode({**ENTRY, "born": born})
        )
        for number, born in ((1, 1700000000000), (2, 1700000005000))
    ]
    assert starts[0].id != starts[1].id
    assert {one.platform_name for one in starts} == {"i-1"}


def test_report():
    report = engine.decode_report(
        b'{"Models":[{"Name":"m","Adapters":["a1"]}],"Busy":true,"Seq":3,"Loading":["m/a2@1"],"born":7}'
    )
    assert report.resident == {"m": frozenset({"a1"})}
    assert report.arriving == {Unit("m", "a2")}
    assert (report.busy, report.orders_accepted, report.started_at_ms) == (True, 3, 7)


def test_order():
    load = Order(Load(Unit("m", "a3")), 2, "node-7", 41)
    assert msgspec.json.decode(engine.encode_order(load)) == {
        "Op": "load", "Model": "m", "Adapter": "a3", "Expect": 2, "Holder": "node-7", "Fence": 41,
    }  # fmt: skip
    unload = load._replace(action=Unload(Unit("m")))
    assert msgspec.json.decode(engine.encode_order(unload))["Op"] == "unload"
    assert engine.order_result(202) is OrderResult.ACCEPTED
    assert engine.order_result(500) is OrderResult.REFUSED


def request(*headers):
    return IngressRequest("POST", "/p/x", "a.example", headers, 0.0, None)


def test_terms():
    terms = exchange.read_terms(
        request(
            ("X-Redwingscale-Request-Id", "r"),
            ("X-Redwingscale-Deadline-Ms", "4000"),
            ("X-Redwingscale-Model-Name", "m/a1"),
            ("X-Redwingscale-Token-Usage", "1460,80"),
            ("X-Redwingscale-Prefix-Hash", "5c:800,91:410"),
            ("Last-Event-Id", "12"),
        )
    )
    assert (terms.request_id, terms.deadline_seconds, terms.last_event) == ("r", 4.0, 12)
    assert terms.prompt.unit == Unit("m", "a1")
    assert [(part.id, part.tokens) for part in terms.prompt.parts] == [("5c", 800), ("91", 410)]


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (("X-Redwingscale-Request-Id", "r"), ("X-Redwingscale-Deadline-Ms", "soon")),
        (
            ("X-Redwingscale-Request-Id", "r"),
            ("X-Redwingscale-Model-Name", "m"),
            ("X-Redwingscale-Token-Usage", "many"),
        ),
    ],
)
def test_malformed_headers_return_an_error_text(headers):
    assert isinstance(exchange.read_terms(request(*headers)), str)


def test_control_headers_of_callers_are_not_forwarded():
    """Guards against a caller that uses a worker's reservation or another run's memory.

    The upstream would trust these headers as the instance's own.
    """
    sent = request(
        ("X-Redwingscale-Request-Id", "r"),
        ("X-Redwingscale-Hold-Request", "h"),
        ("X-Redwingscale-Pin-Ms", "9"),
        ("Kv-From", "1.2.3.4:5/x"),
        ("X-Redwingscale-Kv-Backup", "1.2.3.4:5"),
        ("X-Redwingscale-Expect-Instance", "i"),
        ("X-Redwingscale-Request-Priority", "0"),
        ("Connection", "X-Hop, keep-alive"),
        ("X-Hop", "1"),
        ("X-Own", "2"),
    )
    assert exchange.forwarded_headers(sent) == (
        ("X-Redwingscale-Request-Id", "r"),
        ("X-Own", "2"),
    )


def test_resumed_stream_has_one_last_event_header():
    headers = exchange.attempt_headers((("Last-Event-Id", "3"),), "i-1", 1.5, 2, 7)
    assert [value for name, value in headers if name == "Last-Event-Id"] == ["7"]
    assert ("X-Redwingscale-Deadline-Ms", "1500") in headers
