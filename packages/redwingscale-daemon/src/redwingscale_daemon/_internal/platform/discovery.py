"""Decodes the entries that upstreams write about themselves in the platform's store."""

import ipaddress
from typing import Annotated, Literal

import msgspec

from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.utils.documents import (
    Count,
    Integer,
    PositiveInteger,
    decode_json,
)
from redwingscale_daemon._internal.utils.numbers import parse_number

TABLE = "servers"
_DRAINING = "draining"
_MILLISECONDS = 1000.0
_LAST_PORT = 65535
_Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    version: Integer = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct, rename="pascal"):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Entry(msgspec.Struct, rename="pascal"):
    """An upstream's entry; fields without a default are in each entry that an upstream writes.

    Others may write to the same table: an entry that lacks such a field, or has a field of
    another type or an unknown state, is not an upstream's.
    """

    service: _Text
    address: str
    zone: _Text
    # The version of the upstream's software.
    version: _Text
    slots: PositiveInteger
    state: Literal["ready", "draining"]
    # How much longer the upstream is slow after its start; checked but not used.
    cold_left_ms: float
    # Number of orders that the upstream has accepted; its reports have the number that is used.
    seq: Count
    # Start of the process in Unix milliseconds; the only lower-case field.
    born: Integer | None = msgspec.field(default=None, name="born")
    models: list[_Model] = []
    at_hand: _AtHand = msgspec.field(default_factory=_AtHand)
    remaining_ms: float | None = None


def decode_upstream(name: str, row_version: StoreVersion, document: bytes) -> Upstream:
    """Return the upstream that ``document`` describes; raise `msgspec.DecodeError`."""
    entry = decode_json(document, _Entry)
    host, port = _address(entry.address)
    return Upstream(
        id=start_id(name, entry.born),
        service=entry.service,
        host=host,
        port=port,
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == _DRAINING,
        seconds_left=None if entry.remaining_ms is None else entry.remaining_ms / _MILLISECONDS,
        models_by_name=resident_models(entry.models),
        in_memory=frozenset(entry.at_hand.in_memory),
        on_disk=frozenset(entry.at_hand.on_disk),
        named=name,
        started_at_ms=entry.born,
        row_number=row_version.number,
        era=row_version.era,
        software=entry.version,
    )


def start_id(name: str, started_at_ms: int | None) -> str:
    """Return the upstream id of one start of the process ``name``.

    A process keeps its name when it restarts, so its id contains its start time.
    """
    return name if started_at_ms is None else f"{name}@{started_at_ms}"


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        return str(ipaddress.IPv4Address(host)), _port(port)
    except ValueError as error:
        raise msgspec.ValidationError(f"address {text!r}: {error}") from error


def _port(text: str) -> int:
    port = parse_number(text)
    if port is None or not 0 < port <= _LAST_PORT:
        raise ValueError(f"{text[:80]!r} is no port")
    return port


def resident_models(models: list[_Model]) -> dict[str, ResidentModel]:
    """Return the models of an entry or a report by name."""
    return {
        model.name: ResidentModel(model.name, model.version, frozenset(model.adapters))
        for model in models
    }
