"""What an instance adds to a request that it passes on to another instance."""

import hmac

import msgspec

from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest
from redwingscale_daemon._internal.utils.documents import decode_json

HEADER = "Redwingscale-Passed-On"
# Set in an answer of a peer that has not taken the request, and never will.
DECLINED_HEADER = "Redwingscale-Declined"
# In a stream that a peer has begun: the version of the software that writes it.
SOFTWARE_HEADER = "Redwingscale-Software"


class Envelope(msgspec.Struct):
    """The state of a request that was passed on by ``instance``.

    ``token`` is the one that the receiver has issued. ``waited`` are the seconds since the
    caller sent the request. ``attempts`` were made, of which ``possible_runs`` may have run;
    the upstreams in ``tried`` have refused or lost it. ``passing`` is unique to this passing on.
    ``since_event`` are the seconds since the caller was sent an event, None before the first one.
    ``may_have_arrived`` tells whether an upstream may have received the request. The caller has
    events of a ``begun`` stream, which goes on at ``software`` only, None if unknown.
    """

    token: str
    instance: str
    service: str
    waited: float
    attempts: int
    possible_runs: int
    tried: list[str]
    passing: str = ""
    since_event: float | None = None
    may_have_arrived: bool = True
    begun: bool = False
    software: str | None = None

    def is_from_a_peer(self, token: str) -> bool:
        """Return whether the sender knows ``token``."""
        return hmac.compare_digest(self.token.encode(), token.encode())


def encode(envelope: Envelope) -> tuple[str, str]:
    """Return the header that carries ``envelope``."""
    return HEADER, msgspec.json.encode(envelope).decode("latin-1")


def take(request: IngressRequest) -> tuple[IngressRequest, Envelope | None]:
    """Return the request as its caller sent it, and its envelope, None without a valid one."""
    values = [value for name, value in request.headers if name.lower() == HEADER.lower()]
    kept = without(request.headers)
    if len(values) != 1:
        return request._replace(headers=kept), None
    try:
        envelope = decode_json(values[0].encode("latin-1"), Envelope)
    except msgspec.DecodeError:
        return request._replace(headers=kept), None
    arrived_at = request.arrived_at - max(0.0, envelope.waited)
    return request._replace(headers=kept, arrived_at=arrived_at), envelope


def software_header(software: str) -> tuple[str, str]:
    """Return the header that tells the version of the software which writes a stream."""
    return SOFTWARE_HEADER, msgspec.json.encode(software).decode("latin-1")


def read_software(value: str | None) -> str | None:
    """Return the version in a `SOFTWARE_HEADER`, None without a valid one."""
    try:
        return decode_json((value or "").encode("latin-1"), str)
    except (msgspec.DecodeError, UnicodeError):
        return None


def without(headers: Headers) -> Headers:
    """Return ``headers`` without those that only instances set."""
    own = {HEADER.lower(), DECLINED_HEADER.lower(), SOFTWARE_HEADER.lower()}
    return tuple((name, value) for name, value in headers if name.lower() not in own)
