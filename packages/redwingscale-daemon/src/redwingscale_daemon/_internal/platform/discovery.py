"""Entries that upstreams write about themselves in the platform's store."""

import msgspec

from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream

TABLE = "servers"
_DRAINING = "draining"
_MILLISECONDS = 1000.0


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    version: int = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct, rename="pascal"):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Entry(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    # The entry's own `Version` is that of the upstream's software; no decision needs it.
    slots: int = 1
    state: str = "ready"
    models: list[_Model] = []
    at_hand: _AtHand = msgspec.field(default_factory=_AtHand)
    remaining_ms: float | None = None


def decode_upstream(upstream_id: str, document: bytes) -> Upstream:
    """Return the upstream that ``document`` describes; raise `msgspec.DecodeError`."""
    entry = msgspec.json.decode(document, type=_Entry)
    host, _, port = entry.address.rpartition(":")
    if not port.isdigit():
        raise msgspec.ValidationError(f"no port in address {entry.address!r}")
    return Upstream(
        id=upstream_id,
        service=entry.service,
        host=host,
        port=int(port),
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == _DRAINING,
        seconds_left=None if entry.remaining_ms is None else entry.remaining_ms / _MILLISECONDS,
        models_by_name=resident_models(entry.models),
        in_memory=frozenset(entry.at_hand.in_memory),
        on_disk=frozenset(entry.at_hand.on_disk),
    )


def resident_models(models: list[_Model]) -> dict[str, ResidentModel]:
    """Return the models of an entry or a report by name."""
    return {
        model.name: ResidentModel(model.name, model.version, frozenset(model.adapters))
        for model in models
    }
