"""Whether every other instance has said that it cannot take the order giver's place."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock, lease_clock

# An instance that was heard of within this time may still be there.
KNOWN_SECONDS = 60.0
# From the giver's news to the last order that a pledge in answer to them allows:
# news and answers each go four times a second.
PLEDGE_SECONDS = 1.5


class _Heard(NamedTuple):
    at: float
    answers: float
    store_lost: bool


class Pledges:
    """The other instances' newest words on the store, at the order giver.

    While the store is away for all, nobody can take the lease, and the giver could
    go on; but it cannot tell that from a store that is away for it alone. Each
    instance says in its news whether it has lost the store, and which of the
    giver's news it answers, by the giver's own clock. Such a word is a pledge: an
    instance counts a new giver's quiet time from the giver's news that it hears,
    so it cannot send orders until well after the last one that the pledge allows.
    One instance that reaches the store, or is not heard any more, ends the right.
    The answered time is the giver's, so words that were on their way while its
    machine stood still are as old as they are.

    Guards against a standstill of all swaps: demand that moved during an outage of
    eight seconds found its models nowhere, some 150 of 2,000 requests.
    """

    def __init__(self, clock: Clock = lease_clock) -> None:
        self._clock = clock
        self._heard_by_instance: dict[str, _Heard] = {}

    def heard(self, instance: str, answers: float, store_lost: bool) -> None:
        """Note an instance's word; ``answers`` is 0 where it heard no news lately."""
        self._heard_by_instance[instance] = _Heard(self._clock(), answers, store_lost)

    def complete(self) -> bool:
        """Return whether all that may be there have pledged just now."""
        now = self._clock()
        known = [
            heard
            for heard in list(self._heard_by_instance.values())
            if now - heard.at < KNOWN_SECONDS
        ]
        return bool(known) and all(
            heard.store_lost and now - heard.answers < PLEDGE_SECONDS for heard in known
        )
