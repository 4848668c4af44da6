"""Which holder of its unit a prompt prefers, without messages between instances."""

import math
import threading
import zlib
from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.prompt import Prompt

# Buckets of the ratio of prompt tokens to output tokens, `BUCKETS_PER_DOUBLING` for each
# doubling, from 1/4 to 1024.
BUCKETS_PER_DOUBLING = 8
MIN_RATIO = 0.25
BUCKETS = 12 * BUCKETS_PER_DOUBLING
# Until prompts are known, ratios from 2 to 128 are assumed to be equally frequent. The
# assumption has the weight of ten seconds of prompts of one instance.
ASSUMED_RATIOS = (2.0, 128.0)
ASSUMED_TOKENS = 40_000.0
# With more tokens than this, about a minute of prompts, older ones lose half their weight.
MAX_TOKENS = 400_000.0
# Share of the tokens that the holder of the longest streams receives, relative to the
# others: its streams would break if it read prompts half of the time.
LAST_SHARE = 0.6
# Half of the queue of a worker that reads prompts half of the time: the shares change less
# than the queues, which the instances do not see alike.
USUAL_QUEUE_MS = 300.0


class PromptPlaces:
    """Orders the prompts of a service by the harm that they do and suffer.

    A prompt that is long for its output breaks others' streams, and one that is short for
    its output is a long stream that meets many prompts. Prompts are ordered by this ratio
    and divided into shares with the same number of tokens, one for each holder: the holders
    are equally loaded while no one compares their load. Designed for instances that see a
    few prompts a second each, of 300 to 6,900 tokens for outputs of 90 to 412.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        low, high = (_bucket(ratio) for ratio in ASSUMED_RATIOS)
        each = ASSUMED_TOKENS / (high - low)
        self._tokens = [each if low <= index < high else 0.0 for index in range(BUCKETS)]

    def note(self, prompt: Prompt) -> None:
        """Count a prompt that was sent."""
        with self._lock:
            self._tokens[_bucket_of(prompt)] += prompt.tokens_in
            if sum(self._tokens) > MAX_TOKENS:
                self._tokens = [tokens / 2 for tokens in self._tokens]

    def position(self, prompt: Prompt) -> float:
        """Return the fraction of all tokens that are in prompts with a higher ratio."""
        bucket = _bucket_of(prompt)
        tokens = self._tokens
        return (sum(tokens[bucket + 1 :]) + tokens[bucket] / 2) / sum(tokens)


class Holder(NamedTuple):
    """A holder of a prompt's unit.

    ``queue_ms`` is the mean time in the last seconds that its unread prompts take, and
    ``speed`` is relative to the typical worker.
    """

    id: str
    queue_ms: float
    speed: float


def place_distances(holders: Iterable[Holder], position: float) -> dict[str, float]:
    """Return how far each holder is from the place of a prompt, in shares of one holder.

    All instances compute nearly the same order of the workers. It does not depend on the
    model, since all models of a worker share its batch. Slow workers come early, since long
    streams break there first. A holder whose prompts wait longer, because it is slow or has
    other models, gets a smaller share.
    """
    order = sorted(holders, key=_order)
    weights = [1.0 / (USUAL_QUEUE_MS + one.queue_ms) for one in order]
    if len(order) > 1:
        weights[-1] *= LAST_SHARE
    total = sum(weights)
    ends = [end / total for end in accumulate(weights)]
    begins = [0.0, *ends[:-1]]
    return {
        one.id: max(0.0, begin - position, position - end) * len(order)
        for one, begin, end in zip(order, begins, [*ends[:-1], 1.0], strict=True)
    }


def _order(holder: Holder) -> tuple[float, str]:
    fraction = zlib.crc32(holder.id.encode()) / (1 << 32)
    return fraction + math.log2(holder.speed), holder.id


def _bucket_of(prompt: Prompt) -> int:
    return _bucket(prompt.tokens_in / max(1, prompt.most_tokens_out))


def _bucket(ratio: float) -> int:
    doublings = math.log2(max(MIN_RATIO, ratio) / MIN_RATIO)
    return min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
