"""Answers in the shape of the OpenAI interface."""

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
    """``/v1/completions``."""


@dataclass(frozen=True, slots=True)
class Chat:
    """``/v1/chat/completions``."""


Shape = Completion | Chat


def stream_body(
    shape: Shape, request: GenerationRequest, events: Iterator[StreamEvent]
) -> Iterator[bytes]:
    """Yield server-sent events; each bears the index of its token as its id.

    The frame around the text is the same for every token, so it is encoded
    once a stream: this loop runs for each token.
    """
    head, tail = _frame(shape, request)
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
                yield b"id: %d\ndata: %b\n\n" % (total, _last_chunk(shape, request))
    yield DONE


def whole_body(shape: Shape, request: GenerationRequest, events: Iterator[StreamEvent]) -> bytes:
    """Return the answer as one JSON document; raise `StreamBroken` when it is cut."""
    texts: list[str] = []
    count = 0
    for event in events:
        match event:
            case TokenEvent(text=text):
                texts.append(text)
            case EndEvent(total=total):
                count = total
    usage = {"completion_tokens": count}
    choice = {"index": 0, "finish_reason": "stop"} | _whole_choice(shape, "".join(texts))
    return msgspec.json.encode(
        _base(shape, request, _WHOLE_OBJECT[type(shape)]) | {"choices": [choice], "usage": usage}
    )


_WHOLE_OBJECT = {Completion: "text_completion", Chat: "chat.completion"}
_CHUNK_OBJECT = {Completion: "text_completion", Chat: "chat.completion.chunk"}
_TEXT_MARK = "\x00"


def _frame(shape: Shape, request: GenerationRequest) -> tuple[bytes, bytes]:
    choice = {"index": 0, "finish_reason": None} | _chunk_choice(shape, _TEXT_MARK)
    value = _base(shape, request, _CHUNK_OBJECT[type(shape)]) | {"choices": [choice]}
    head, _, tail = msgspec.json.encode(value).partition(msgspec.json.encode(_TEXT_MARK))
    return head, tail


def _last_chunk(shape: Shape, request: GenerationRequest) -> bytes:
    choice = {"index": 0, "finish_reason": "stop"} | _chunk_choice(shape, "")
    return msgspec.json.encode(
        _base(shape, request, _CHUNK_OBJECT[type(shape)]) | {"choices": [choice]}
    )


def _base(shape: Shape, request: GenerationRequest, kind: str) -> dict[str, object]:
    return {
        "id": request.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": str(request.unit),
    }


def _chunk_choice(shape: Shape, text: str) -> dict[str, object]:
    match shape:
        case Completion():
            return {"text": text}
        case Chat():
            return {"delta": {"content": text}}


def _whole_choice(shape: Shape, text: str) -> dict[str, object]:
    match shape:
        case Completion():
            return {"text": text}
        case Chat():
            return {"message": {"role": "assistant", "content": text}}
