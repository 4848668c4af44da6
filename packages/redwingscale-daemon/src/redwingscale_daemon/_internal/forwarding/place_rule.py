"""How a request that needs a holder obtains a place there."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.call import Call


class Holders(NamedTuple):
    """The holders of one request's unit.

    ``again`` returns the cheapest of a sample of the holders, ``best`` of all; None without
    one. ``ids`` returns the ids of all. ``refusal`` returns why
    the request would be too late at a holder, None if it would not. ``check`` raises
    `Refusal`, `CallerLeft` if the request must not wait any longer.
    """

    again: Callable[[], Candidate | None]
    best: Callable[[], Candidate | None]
    ids: Callable[[], list[str]]
    refusal: Callable[[Candidate], Refusal | None]
    check: Callable[[], None]


class PlaceRule(Protocol):
    """Decides whether a request is sent, waits for a place, or is refused."""

    def take_place(
        self, call: Call, prompt: Prompt, found: Candidate, holders: Holders
    ) -> Candidate | Refusal:
        """Return the holder, at first ``found``, or why there is no place at any holder."""


class FirstComeFirstServed:
    """Each request is sent unless it would be too late."""

    def take_place(
        self, call: Call, prompt: Prompt, found: Candidate, holders: Holders
    ) -> Candidate | Refusal:
        """Return ``found``, or the best of all holders if ``found`` is too late."""
        if holders.refusal(found) is None:
            return found
        best = holders.best() or found
        return holders.refusal(best) or best


FIRST_COME_FIRST_SERVED = FirstComeFirstServed()
