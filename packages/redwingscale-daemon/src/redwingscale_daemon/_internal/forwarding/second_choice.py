"""Decides whether a request may be sent another way while its upstream is silent."""

import enum
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.peer_offers import Peer


class NotAsked(enum.StrEnum):
    """Why no second upstream or peer is asked; the values are logged."""

    NO_ATTEMPT = "no further attempt is allowed"
    NO_OTHER = "no other holder"
    NO_REPEAT = "no repeat is left"


class SecondChoice:
    """Chooses a second upstream or peer for streams and for other requests.

    The silent connection stays open: it is given up by the caller of `take`, once the second
    one has answered. Used by the thread of the request.
    """

    def __init__(self, call: Call, choose: Callable[[], Candidate | Peer | None]) -> None:
        self._call = call
        # Returns what is there now, None without any; raises `Refusal`.
        self._choose = choose
        # Why none was asked at last.
        self._reason = ""

    def take(self) -> Candidate | Peer | NotAsked:
        """Return whom to ask, or why none is asked; raises `Refusal`."""
        attempts = self._call.attempts
        if not attempts.may_ask_second:
            return self._not_asked(NotAsked.NO_ATTEMPT)
        chosen = self._choose()
        if chosen is None:
            return self._not_asked(NotAsked.NO_OTHER)
        # A silent peer may have asked several upstreams, and may be about to ask one.
        attempts.shared.claim_at(attempts.silent_peer)
        if not attempts.may_ask_second:
            return self._not_asked(NotAsked.NO_ATTEMPT)
        # A peer sends it within its own part of the budget.
        if isinstance(chosen, Candidate) and not attempts.arrivals.more_allowed:
            return self._not_asked(NotAsked.NO_REPEAT)
        return chosen

    def note_not_asked(self, reason: str) -> None:
        """Log why no second one is asked, unless that was logged last."""
        if reason != self._reason:
            self._reason = reason
            log_event("second_not_asked", request=self._call.terms.request_id, reason=reason)

    def forget(self) -> None:
        """Log the next reason also if it is the same: the silence has ended."""
        self._reason = ""

    def _not_asked(self, reason: NotAsked) -> NotAsked:
        self.note_not_asked(reason)
        return reason
