"""How long a request keeps a place in an engine's batch, by Little's law."""

DEFAULT_SECONDS = 3.0
LEAST_SECONDS = 0.05
MOST_SECONDS = 120.0
LEAST_RATE = 0.5
FULL = 0.8
WEIGHT = 0.1


class ServiceTime:
    """Running requests over arrivals a second, smoothed."""

    def __init__(self) -> None:
        self.seconds = DEFAULT_SECONDS

    def update(self, running: int, slots: int, requests_per_second: float) -> float:
        """Take one look at the whole deployment; return the seconds.

        Nearly full engines are left out: what waits or was refused counts as an
        arrival but does not run, and would make requests look short.
        """
        if requests_per_second < LEAST_RATE or not 0 < running < FULL * slots:
            return self.seconds
        seen = min(max(running / requests_per_second, LEAST_SECONDS), MOST_SECONDS)
        self.seconds += WEIGHT * (seen - self.seconds)
        return self.seconds
