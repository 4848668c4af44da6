"""The rules by which refused requests return, as a request that needs a holder sees them."""

from collections.abc import Callable
from typing import Protocol

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.call import Call

# Returns a refusal if the candidate would serve the request too late, else None.
OverloadRule = Callable[[Call, Candidate], Refusal | None]


class ReturnOrder(Protocol):
    """Decides which requests are refused at once, and when they may return."""

    def note_arrival(self, call: Call, prompt: Prompt) -> None:
        """Note a request that needs a holder; it may have been refused before."""

    def ready_in(self, call: Call, prompt: Prompt, announced: float | None) -> float | None:
        """Return the seconds until the unit is resident; the leader ``announced`` them."""

    def is_unplanned(
        self, call: Call, prompt: Prompt, waited_seconds: float, left_seconds: float
    ) -> bool:
        """Return whether a request that can wait for ``left_seconds`` waits in vain."""

    def overload_refusal(
        self, call: Call, prompt: Prompt, found: Candidate, rule: OverloadRule
    ) -> Refusal | None:
        """Return the refusal of a request that comes too late at ``found``, by ``rule``."""

    def note_refusal(
        self, call: Call, prompt: Prompt, refusal: Refusal, max_wait_seconds: float
    ) -> None:
        """Set the retry time of a refusal; the request could have waited for so long."""


class Unordered:
    """Returning requests are treated as new ones, and loads may be announced at any time."""

    def note_arrival(self, call: Call, prompt: Prompt) -> None:
        """Do nothing."""

    def ready_in(self, call: Call, prompt: Prompt, announced: float | None) -> float | None:
        """Return what the leader announced."""
        return announced

    def is_unplanned(
        self, call: Call, prompt: Prompt, waited_seconds: float, left_seconds: float
    ) -> bool:
        """Return False."""
        return False

    def overload_refusal(
        self, call: Call, prompt: Prompt, found: Candidate, rule: OverloadRule
    ) -> Refusal | None:
        """Apply ``rule``."""
        return rule(call, found)

    def note_refusal(
        self, call: Call, prompt: Prompt, refusal: Refusal, max_wait_seconds: float
    ) -> None:
        """Keep the retry time."""


UNORDERED = Unordered()
