"""Judges, by what callers hold, whether streams went on only where they may."""

import re
from collections.abc import Iterable, Iterator, Sequence
from itertools import pairwise
from typing import NamedTuple

_EVENT = re.compile(rb"id: (\d+)\ndata: token\d+ (\S+)\n")


class Piece(NamedTuple):
    """An event that a caller has received, and the software version of the worker that wrote it."""

    number: int
    software: str


def read_pieces(data: bytes) -> Iterator[Piece]:
    """Yield the whole events in the body of an answer."""
    return (Piece(int(number), name.decode()) for number, name in _EVENT.findall(data))


def is_mixed(pieces: Sequence[Piece]) -> bool:
    """Return whether workers of several software versions wrote the events of one stream.

    ``pieces`` are those of all tries of its caller, in the order in which they arrived.
    """
    return len({piece.software for piece in pieces}) > 1


def has_gap(pieces: Sequence[Piece]) -> bool:
    """Return whether an event of the stream is missing or came twice."""
    numbers = [piece.number for piece in pieces]
    return any(after != before + 1 for before, after in pairwise([0, *numbers]))


def mixed_streams(streams: Iterable[Sequence[Piece]]) -> list[Sequence[Piece]]:
    """Return the streams with events of several software versions."""
    return [pieces for pieces in streams if is_mixed(pieces)]
