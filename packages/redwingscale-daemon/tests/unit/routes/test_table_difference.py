"""Differences between versions of the configuration lead to the whole later version."""

import msgspec
import pytest
from redwingscale_daemon._internal.platform.configuration import decode_configuration
from redwingscale_daemon._internal.routes.table_difference import (
    apply_difference,
    encode_difference,
)
from redwingscale_daemon._internal.routes.table_record import decode_table, encode_table
from redwingscale_standins.hosted.documents import document, keyed_document, stream_route

ROUTES = 400


def many(**changes):
    made = keyed_document(1, "k1", "k2")
    made["Routes"] += [stream_route(f"r{n}", f"/r/{n}/") for n in range(ROUTES)]
    return made | changes


def with_route(number, **changes):
    made = many()
    made["Routes"][number] |= changes
    return made


def with_service(**changes):
    made = many()
    made["Services"][0] |= changes
    return made


LATER = {
    "same": many(),
    "limit": with_route(7, TimeoutMs=1),
    "prefix": with_route(7, Prefix="/new/"),
    "order": many(Routes=many()["Routes"][::-1]),
    "fewer": many(Routes=many()["Routes"][:9]),
    "other": many(Routes=[stream_route("x", "/x/")]),
    "service": with_service(MaxConns=7),
    "renamed": with_service(Name="llm2"),
    "limits": many(Limits={"MaxBodyBytes": 77}),
    "key": many(Tenants=keyed_document(1, "k2", "k3")["Tenants"]),
    "rate": many(Tenants=keyed_document(1, "k1", "k2", per_second=3)["Tenants"]),
    "no_keys": document(1) | {"Routes": many()["Routes"]},
}


def table(made, version):
    return decode_configuration(msgspec.json.encode(made | {"Version": version}))


@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize("change", LATER)
def test_difference_leads_to_the_whole_later_table(change, back):
    """Guards against an instance that keeps a route, service, limit or key of the version before."""
    pair = [table(many(), 1), table(LATER[change], 2)]
    base, later = reversed(pair) if back else pair
    built = apply_difference(base, encode_difference(base, later))
    assert built.version == later.version
    assert built.by_host_and_prefix == later.by_host_and_prefix
    assert built.services_by_name == later.services_by_name
    assert built.limits == later.limits
    assert (built.keys is None) == (later.keys is None)
    if later.keys is not None:
        assert built.keys.workspaces_by_digest == later.keys.workspaces_by_digest
        assert built.keys.limits_by_name == later.keys.limits_by_name
    assert built.digest == later.digest


@pytest.mark.parametrize("change", sorted(LATER.keys() - {"same", "order"}))
def test_tables_with_another_content_have_another_digest(change):
    """Guards against a difference that is applied to a table which it does not lead from."""
    base, other = table(many(), 1), table(LATER[change], 1)
    assert base.digest != other.digest
    with pytest.raises(msgspec.DecodeError):
        apply_difference(other, encode_difference(base, table(many(), 2)))


def test_difference_leads_from_each_of_its_bases():
    """Guards against a value of one base that stays in the table of another one."""
    first, later = table(many(), 1), table(many(), 3)
    between = table(many(), 2)
    key = next(iter(between.by_host_and_prefix))
    between.by_host_and_prefix[key] = between.by_host_and_prefix[key]._replace(priority=9)
    difference = encode_difference(between, later, [first])
    for base in (first, between):
        assert apply_difference(base, difference).digest == later.digest


def test_digest_is_the_same_wherever_a_table_was_built():
    """Guards against whole tables where a difference would do."""
    base = table(many(), 1)
    assert decode_table(encode_table(base)).digest == base.digest
    assert table(LATER["order"], 1).digest == base.digest


def test_difference_of_one_route_is_small():
    base, later = table(many(), 1), table(LATER["limit"], 2)
    assert len(encode_difference(base, later)) < len(encode_table(later)) / 100
