"""A simulated row store that may come back from an older copy, and its clients' connections."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from urllib3 import HTTPResponse
from urllib3.exceptions import ProtocolError

from redwingscale_standins.histories.clock import FakeClock

_Key = tuple[str, str, str]
_KEY_FIELDS = ("Table", "part", "Key")


class _State(NamedTuple):
    at: float
    rows: dict[_Key, tuple[int, str]]
    number: int


class EraStore:
    """Rows, one counter for all of them, and an era that each copy begins."""

    def __init__(self, clock: FakeClock, era: int) -> None:
        self._clock = clock
        self.era = era
        self._rows: dict[_Key, tuple[int, str]] = {}
        self._number = 0
        self._states: list[_State] = []
        self._keep()

    def count(self, writes: int) -> None:
        """Let others write ``writes`` rows."""
        self._number += writes
        self._keep()

    def restore(self, seconds: float) -> None:
        """Come back from the copy of ``seconds`` ago."""
        at = self._clock.now - seconds
        older = [state for state in self._states if state.at <= at]
        state = (older or self._states)[-1 if older else 0]
        self._states = [one for one in self._states if one.at <= state.at]
        self._rows, self._number = dict(state.rows), state.number
        self.era += 1
        self._keep()

    def write(self, body: dict[str, Any]) -> int:
        """Write if the conditions hold; return the status."""
        for expected in body["Expect"]:
            if self._rows.get(_key(expected), (0, ""))[0] != expected["RowVersion"]:
                return 412
        self._number += 1
        self._rows |= {_key(put): (self._number, put["Value"]) for put in body["Puts"]}
        self._keep()
        return 200

    def answer(self, status: int, table: str = "") -> HTTPResponse:
        """Return an answer with the rows of ``table``."""
        rows = [
            {**dict(zip(_KEY_FIELDS, key, strict=True)), "RowVersion": number, "Value": value}
            for key, (number, value) in self._rows.items()
            if key[0] == table
        ]
        body = json.dumps({"Rows": rows, "RowVersion": self._number}).encode()
        return HTTPResponse(body, {"Store-Era": str(self.era)}, status)

    def _keep(self) -> None:
        self._states.append(_State(self._clock.now, dict(self._rows), self._number))


def _key(row: dict[str, Any]) -> _Key:
    return (row["Table"], row["part"], row["Key"])


class Connection:
    """Replaces the connections of one `StoreClient`; ``draw`` returns the fault of a call.

    The faults: ``refused`` and ``lost`` (no answer, the second after the call was done), and
    ``late`` (no answer, a write is done seconds later if its condition holds then).
    """

    def __init__(
        self,
        store: EraStore,
        clock: FakeClock,
        draw: Callable[[], str | None],
        late_seconds: Callable[[], float],
    ) -> None:
        self._store, self._clock = store, clock
        self._draw, self._late_seconds = draw, late_seconds
        self.cut = False

    def request(self, method: str, target: str, body: bytes | None, **_: object) -> HTTPResponse:
        """Answer one call."""
        fault = self._draw()
        if self.cut:
            raise ProtocolError("cut off")
        if fault == "refused":
            return self._store.answer(503)
        if method == "GET":
            query = parse_qs(urlsplit(target).query)
            return self._store.answer(200, query["Table"][0])
        transaction = json.loads(body or b"{}")
        if fault == "late":
            self._clock.call_later(self._late_seconds(), lambda: self._write_late(transaction))
            raise ProtocolError("no answer")
        status = self._store.write(transaction)
        if fault == "lost":
            raise ProtocolError("no answer")
        return self._store.answer(status)

    def _write_late(self, transaction: dict[str, Any]) -> None:
        self._store.write(transaction)
