"""The refused requests of all instances that are expected to return."""

import threading
import time
from collections.abc import Callable, Iterable

from redwingscale_daemon._internal.admission.booked_return import BookedReturn
from redwingscale_daemon._internal.fleet.unit import Unit

# A request that returns earlier than this before its time has no claim.
EARLY_SECONDS = 0.3
# A request that has not returned this long after its time has no claim any more.
EXPIRY_SECONDS = 2.0
# A place is kept free for a return until this long after its time: callers return within
# some milliseconds, and other instances see the load of one that has returned a quarter to
# three quarters of a second later.
KEPT_SECONDS = 0.3
# A later announcement of the same request is a new booking if its time differs by more
# than the transit time of updates.
SAME_BOOKING_SECONDS = 0.25


class ReturnBook:
    """Books returns by digest; a request that returns as announced uses up its booking.

    Made for callers who compete for too few holders, return once after each refusal, and
    reach another one of some sixty instances. Bookings of other instances come with the
    leader's updates. Whatever is lost on the way is not in the book, and its caller is
    treated as a new one.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._by_digest: dict[str, BookedReturn] = {}
        # When the claimed bookings were due: the leader may announce them once more.
        self._claimed_due_at: dict[str, float] = {}
        self._unsent: list[BookedReturn] = []

    def __len__(self) -> int:
        return len(self._by_digest)

    def book(self, booked: BookedReturn) -> None:
        """Book a return that was announced to a caller here."""
        with self._lock:
            self._by_digest[booked.digest] = booked
            self._claimed_due_at.pop(booked.digest, None)
            self._unsent.append(booked)

    def receive(self, announced: Iterable[BookedReturn]) -> None:
        """Add the returns that the leader announces, unless they are known or claimed."""
        with self._lock:
            self._drop_expired()
            for booked in announced:
                known = self._by_digest.get(booked.digest)
                known_due_at = self._claimed_due_at.get(
                    booked.digest, known.due_at if known else float("-inf")
                )
                if booked.due_at > known_due_at + SAME_BOOKING_SECONDS:
                    self._by_digest[booked.digest] = booked

    def drain(self) -> list[BookedReturn]:
        """Return the bookings made here since the previous call."""
        with self._lock:
            unsent, self._unsent = self._unsent, []
        return unsent

    def claim(self, digest: str) -> tuple[BookedReturn | None, float]:
        """Use up a booking that is due; return it and by how many seconds the caller is late.

        Returns None without a booking, and before its time, with negative seconds.
        """
        now = self._clock()
        with self._lock:
            self._drop_expired()
            booked = self._by_digest.get(digest)
            if booked is None:
                return None, 0.0
            late_seconds = now - booked.due_at
            if late_seconds < -EARLY_SECONDS:
                return None, late_seconds
            del self._by_digest[digest]
            self._claimed_due_at[digest] = booked.due_at
            return booked, late_seconds

    def tokens_by_unit(
        self, service: str, rank: int, within_seconds: float = float("inf")
    ) -> dict[Unit, int]:
        """Return the prompt tokens of the returns before a request of ``rank``, by unit.

        Counts returns that are at least as urgent and due ``within_seconds``.
        """
        now = self._clock()
        tokens: dict[Unit, int] = {}
        with self._lock:
            for booked in self._by_digest.values():
                due_in = booked.due_at - now
                if (
                    booked.service == service
                    and booked.rank <= rank
                    and -KEPT_SECONDS <= due_in <= within_seconds
                ):
                    tokens[booked.unit] = tokens.get(booked.unit, 0) + booked.tokens
        return tokens

    def _drop_expired(self) -> None:
        since = self._clock() - EXPIRY_SECONDS
        self._by_digest = {k: one for k, one in self._by_digest.items() if one.due_at >= since}
        self._claimed_due_at = {k: at for k, at in self._claimed_due_at.items() if at >= since}
