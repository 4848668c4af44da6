"""A model worker that pauses in the middle of its streams, and goes on."""

import itertools
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming


class Pause(NamedTuple):
    """A pause of ``seconds`` after ``events`` events, in the runs for which ``applies`` holds.

    ``applies`` takes the number of the run at its worker, from 0. Runs that go on with a
    stream of another worker pause only if ``resumed`` is set.
    """

    seconds: float
    events: int = 3
    applies: Callable[[int], bool] = lambda run: True
    resumed: bool = True


class PausingWorker(ModelWorker):
    """Makes its pause once in each run; ``finished`` are the runs that came to their end."""

    def __init__(
        self, worker_id: str, models: set[str], pause: Pause, timing: WorkerTiming | None = None
    ) -> None:
        super().__init__(worker_id, {name: set() for name in models}, timing)
        self.finished = 0
        self._pause = pause
        self._numbers = itertools.count()

    def _events(self, first: int, last: int) -> Iterator[bytes]:
        may_pause = first == 1 or self._pause.resumed
        pauses = may_pause and self._pause.applies(next(self._numbers))
        for made, event in enumerate(super()._events(first, last)):
            if pauses and made == self._pause.events:
                time.sleep(self._pause.seconds)
            yield event
        self.finished += 1
