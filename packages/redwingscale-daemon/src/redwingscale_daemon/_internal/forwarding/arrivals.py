"""Whether an upstream may have received a request, and whether it may be sent again."""

from redwingscale_daemon._internal.forwarding.repeat_budget import RepeatBudget


class Arrivals:
    """Counts each sending of one request, which all ways to an upstream pass through."""

    def __init__(self, budget: RepeatBudget, service: str) -> None:
        self._budget = budget
        self._service = service
        self._attempts = 0
        # Whether this instance has sent it to an upstream, which may have received it.
        self._sent = False
        # The instances that may have sent it: those that have it, and the one that it came from.
        self._may_have_sent: set[str] = set()
        self._sender: str | None = None

    @property
    def possible(self) -> bool:
        """Whether an upstream may have received the request, whatever it did with it."""
        return self._sent or bool(self._may_have_sent)

    @property
    def possible_from_here(self) -> bool:
        """The same of what this instance has sent, and the instances that it has passed it on to."""
        return self._sent or bool(self._may_have_sent - {self._sender})

    @property
    def more_allowed(self) -> bool:
        """Whether the budget allows to send the request now."""
        return not self.possible or self._budget.has_repeat(self._service)

    def note_attempt(self) -> None:
        """Note that an upstream was chosen, which may turn out not to be reached."""
        self._attempts += 1

    def take_sending(self) -> bool:
        """Count that the request is sent to an upstream now; return whether it may be.

        Called at the time of sending, which may be long after the decision to send it again.
        Only a request that no upstream can have received is sent without drawing on the budget.
        """
        if self.possible:
            if not self._budget.take(self._service):
                return False
        elif self._attempts > 1:
            self._budget.note_free(self._service)
        self._sent = True
        return True

    def note_sender(self, instance: str) -> None:
        """Note the instance that has passed the request on, and may have sent it before."""
        self._sender = instance
        self.note_instance(instance)

    def note_instance(self, instance: str) -> None:
        """Note another instance that may have sent the request to an upstream."""
        self._may_have_sent.add(instance)

    def note_declined(self, instance: str) -> None:
        """Note that an instance has not taken the request."""
        self._may_have_sent.discard(instance)
