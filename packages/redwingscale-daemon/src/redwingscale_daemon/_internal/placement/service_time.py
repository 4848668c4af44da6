"""How long a request keeps a place in an engine's batch, by Little's law."""

DEFAULT_SECONDS = 3.0
MIN_SECONDS = 0.05
MAX_SECONDS = 120.0
MIN_REQUESTS_PER_SECOND = 0.5
MAX_UTILISATION = 0.8
SMOOTHING_FACTOR = 0.1


class ServiceTime:
    """Running requests over arrivals a second, smoothed."""

    def __init__(self) -> None:
        self.seconds = DEFAULT_SECONDS

    def update(self, running: int, slots: int, requests_per_second: float) -> float:
        """Take one look at the whole deployment; return the seconds.

        Nearly full engines are left out: what waits or was refused counts as an
        arrival but does not run, and would make requests look short.
        """
        if (
            requests_per_second < MIN_REQUESTS_PER_SECOND
            or not 0 < running < MAX_UTILISATION * slots
        ):
            return self.seconds
        observed = min(max(running / requests_per_second, MIN_SECONDS), MAX_SECONDS)
        self.seconds += SMOOTHING_FACTOR * (observed - self.seconds)
        return self.seconds
