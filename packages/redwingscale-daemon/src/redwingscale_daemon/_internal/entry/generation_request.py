"""Validates the body of a completion request and builds the typed request."""

from collections.abc import Mapping

import msgspec
from redwingscale_common.configuration import Caller, Configuration, ModelService, Unit
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.entry.request_headers import parse_headers
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.generation import GenerationRequest

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
SERVICE_HEADER = "X-Service"


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """The fields that are read from a body; other fields of the API are ignored."""

    model: str
    prompt: str | None = None
    messages: list[Message] | None = None
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


def parse_body(data: bytes, *, chat: bool) -> CompletionBody:
    """Return the validated body; raises `Refusal` 400 with the JSON path of the fault."""
    try:
        body = msgspec.json.decode(data, type=CompletionBody)
    except msgspec.MsgspecError as error:
        raise Refusal(400, "body_invalid", str(error)) from None
    if chat and not body.messages:
        raise Refusal(400, "body_invalid", "`$.messages` must hold at least one message")
    if not chat and body.prompt is None:
        raise Refusal(400, "body_invalid", "`$.prompt` is missing")
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        raise Refusal(400, "body_invalid", f"`$.max_tokens` must be from 1 to {MAX_TOKENS_LIMIT}")
    return body


def build_request(
    body: CompletionBody,
    configuration: Configuration,
    caller: Caller,
    headers: Mapping[str, str],
    request_id: str,
) -> GenerationRequest:
    """Return the typed request; raises `Refusal` if ``caller`` is not allowed to make it."""
    unit = _find_unit(body.model, configuration, caller)
    service = _choose_service(configuration, caller, unit, headers.get(SERVICE_HEADER, ""))
    deadline = min(service.deadline_seconds, caller.deadline_seconds)
    control = parse_headers(headers, request_id, deadline, idempotent=service.idempotent)
    prompt = _join_prompt(body)
    return GenerationRequest(
        request_id=request_id,
        caller=caller.name,
        service=service.name,
        unit=unit,
        prompt=prompt,
        max_tokens=body.max_tokens,
        priority=service.priority,
        idempotent=control.idempotent,
        idempotency_key=control.idempotency_key,
        deadline_at=control.deadline_at,
        fingerprint=sha256_hex(f"{unit}\0{prompt}\0{body.max_tokens}".encode()),
    )


def _find_unit(text: str, configuration: Configuration, caller: Caller) -> Unit:
    name, _, adapter = text.partition(":")
    model = configuration.models_by_name.get(name)
    # A model that only other callers may use is refused like an unknown one, so that a
    # caller learns nothing about it.
    if model is None or not configuration.model_services(caller.name, name):
        raise Refusal(404, "model_unknown", f"no model {text!r}")
    if adapter and adapter not in model.adapters_by_name:
        raise Refusal(404, "model_unknown", f"no model {text!r}")
    return Unit(name, model.serving, adapter)


def _choose_service(
    configuration: Configuration, caller: Caller, unit: Unit, named: str
) -> ModelService:
    services = configuration.model_services(caller.name, unit.model)
    usable = [s for s in services if _offers(s, unit) and named in ("", s.name)]
    if not usable:
        raise Refusal(404, "model_unknown", f"no service offers {unit.model!r} in this way")
    return usable[0]


def _offers(service: ModelService, unit: Unit) -> bool:
    return any(
        d.model == unit.model and (not unit.adapter or unit.adapter in d.adapters)
        for d in service.depends_on
    )


def _join_prompt(body: CompletionBody) -> str:
    if body.messages:
        return "".join(f"<{m.role}>{m.content}\n" for m in body.messages)
    return body.prompt or ""
