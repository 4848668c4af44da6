"""Encodes responses in the formats of the OpenAI API."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from redwingscale_daemon._internal.models.generation import (
    EndEvent,
    GenerationRequest,
    StreamEvent,
    TokenEvent,
)

DONE = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class Completion:
    """The format of ``/v1/completions``."""


@dataclass(frozen=True, slots=True)
class Chat:
    """The format of ``/v1/chat/completions``."""


ResponseFormat = Completion | Chat


def stream_body(
    response_format: ResponseFormat, request: GenerationRequest, events: Iterator[StreamEvent]
) -> Iterator[bytes]:
    """Yield server-sent events; the id of each is the position of its token.

    The JSON around the text is the same for every token, so it is encoded once per
    stream to keep the work per token small.
    """
    head, tail = _chunk_frame(response_format, request)
    for event in events:
        match event:
            case TokenEvent(position=position, text=text):
                yield b"id: %d\ndata: %b%b%b\n\n" % (
                    position,
                    head,
                    msgspec.json.encode(text),
                    tail,
                )
            case EndEvent(total=total):
                yield b"id: %d\ndata: %b\n\n" % (total, _last_chunk(response_format, request))
    yield DONE


def whole_body(
    response_format: ResponseFormat, request: GenerationRequest, events: Iterator[StreamEvent]
) -> bytes:
    """Return the response as one JSON document; raises `StreamBroken` if it is cut."""
    texts: list[str] = []
    count = 0
    for event in events:
        match event:
            case TokenEvent(text=text):
                texts.append(text)
            case EndEvent(total=total):
                count = total
    usage = {"completion_tokens": count}
    choice = {"index": 0, "finish_reason": "stop"} | _whole_choice(response_format, "".join(texts))
    return msgspec.json.encode(
        _common_fields(response_format, request, _WHOLE_OBJECT[type(response_format)])
        | {"choices": [choice], "usage": usage}
    )


_WHOLE_OBJECT = {Completion: "text_completion", Chat: "chat.completion"}
_CHUNK_OBJECT = {Completion: "text_completion", Chat: "chat.completion.chunk"}
_TEXT_PLACEHOLDER = "\x00"


def _chunk_frame(
    response_format: ResponseFormat, request: GenerationRequest
) -> tuple[bytes, bytes]:
    """Return the encoded chunk before and after its text."""
    choice = {"index": 0, "finish_reason": None} | _chunk_choice(response_format, _TEXT_PLACEHOLDER)
    value = _common_fields(response_format, request, _CHUNK_OBJECT[type(response_format)]) | {
        "choices": [choice]
    }
    head, _, tail = msgspec.json.encode(value).partition(msgspec.json.encode(_TEXT_PLACEHOLDER))
    return head, tail


def _last_chunk(response_format: ResponseFormat, request: GenerationRequest) -> bytes:
    choice = {"index": 0, "finish_reason": "stop"} | _chunk_choice(response_format, "")
    return msgspec.json.encode(
        _common_fields(response_format, request, _CHUNK_OBJECT[type(response_format)])
        | {"choices": [choice]}
    )


def _common_fields(
    response_format: ResponseFormat, request: GenerationRequest, kind: str
) -> dict[str, object]:
    return {
        "id": request.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": str(request.unit),
    }


def _chunk_choice(response_format: ResponseFormat, text: str) -> dict[str, object]:
    match response_format:
        case Completion():
            return {"text": text}
        case Chat():
            return {"delta": {"content": text}}


def _whole_choice(response_format: ResponseFormat, text: str) -> dict[str, object]:
    match response_format:
        case Completion():
            return {"text": text}
        case Chat():
            return {"message": {"role": "assistant", "content": text}}
