"""Estimates how long a request occupies a slot of an engine, by Little's law."""

DEFAULT_SECONDS = 3.0
MIN_SECONDS = 0.05
MAX_SECONDS = 120.0
MIN_REQUESTS_PER_SECOND = 0.5
MAX_UTILISATION = 0.8
SMOOTHING_FACTOR = 0.1


class ServiceTime:
    """Running requests divided by arrivals per second, smoothed."""

    def __init__(self) -> None:
        self.seconds = DEFAULT_SECONDS

    def update(self, running: int, slots: int, requests_per_second: float) -> float:
        """Update the estimate from the totals of the deployment, and return it.

        Nothing is updated while the engines are nearly full: requests that wait or were
        refused count as arrivals but not as running, so the estimate would be too low.
        """
        if (
            requests_per_second < MIN_REQUESTS_PER_SECOND
            or not 0 < running < MAX_UTILISATION * slots
        ):
            return self.seconds
        observed = min(max(running / requests_per_second, MIN_SECONDS), MAX_SECONDS)
        self.seconds += SMOOTHING_FACTOR * (observed - self.seconds)
        return self.seconds
