"""The pauses that a prompt causes in the streams that its worker generates, and their cost."""

import math
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.engine_speeds import EngineSpeed

# Spread of the ratio of a real pause to the expected one: workers are slow for a while, and
# the unread tokens of other instances are known late.
RATIO_SPREAD = 0.3
# Cost of a stream that breaks with certainty. It loses its caller as much as a late answer,
# but the load that the chance is based on is known late: with 1000 ms, prompts avoid holders
# that have become idle, and more first events are late.
BROKEN_STREAM_COST_MS = 300.0
# Cost of a holder that is one share away from the place of a prompt, and of the farthest
# one, in latency targets. The shares keep the holders equally loaded, so a queue at one of
# them is short-lived and worth waiting for, unless it uses up the target.
PLACE_COST_TARGETS = 2.0
MAX_PLACE_COST_TARGETS = 1.0


class PauseRule(NamedTuple):
    """What the streams of a service need, and how many tokens their events have.

    ``longest_gap_ms`` is the longest pause between two events that is in time, and
    ``latency_target_ms`` the shortest latency target.
    """

    longest_gap_ms: float
    latency_target_ms: float
    tokens_per_event: int


class PauseCost(NamedTuple):
    """The cost of a prompt at a worker, in parts.

    ``broken`` is the expected number of streams with too long a pause there, and
    ``broken_alone`` the same if the worker had no other unread tokens.
    """

    place_ms: float
    broken: float
    broken_alone: float

    @property
    def cost_ms(self) -> float:
        """Sum of the parts."""
        return self.place_ms + self.broken * BROKEN_STREAM_COST_MS


class Pauses(NamedTuple):
    """The pauses of the streams of one worker, which reads ``chunk_tokens`` in a step."""

    rule: PauseRule
    speed: EngineSpeed
    chunk_tokens: float

    def expected_ms(self, unread_tokens: float) -> float:
        """Return the time between two events of a stream while ``unread_tokens`` are read."""
        read = min(unread_tokens, self.rule.tokens_per_event * self.chunk_tokens)
        return self.speed.event_ms + read / self.speed.tokens_per_ms

    def break_chance(self, unread_tokens: float) -> float:
        """Return the probability that a pause exceeds the longest one that is in time."""
        ratio = self.expected_ms(unread_tokens) / self.rule.longest_gap_ms
        return 0.5 * (1.0 + math.erf(math.log(ratio) / (RATIO_SPREAD * math.sqrt(2))))

    def cost(
        self, generating: int, unread_tokens: float, prompt_tokens: int, distance: float
    ) -> PauseCost:
        """Return the cost of a prompt at a worker with ``unread_tokens`` of other prompts.

        ``generating`` streams run there, and it is ``distance`` shares away from the place
        of the prompt among the holders. Where even a full chunk in each step keeps pauses
        short enough, the place does not matter. Designed for workers that read prompts half
        of the time, of which a few at once exceed the longest pause.
        """
        targets = min(MAX_PLACE_COST_TARGETS, distance * PLACE_COST_TARGETS)
        return PauseCost(
            targets * self.rule.latency_target_ms * self.break_chance(math.inf),
            generating * self.break_chance(unread_tokens + prompt_tokens),
            generating * self.break_chance(prompt_tokens),
        )
