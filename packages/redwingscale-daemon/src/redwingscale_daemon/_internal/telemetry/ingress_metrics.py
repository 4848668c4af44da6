"""Counters and latencies of the requests that are forwarded byte for byte."""

import time
from collections.abc import Callable, Iterable, Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from redwingscale_daemon._internal.forwarding.repeat_budget import Usage
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.telemetry.thread_counts import observe_threads

# Latency targets of deployments are between 0.1 and 5 seconds.
LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)

# A first event within this factor of its expected time counts as expected.
FIRST_EVENT_NEAR_FACTOR = 2.0


class IngressMetrics:
    """The metrics of one instance; each label has only a few values."""

    def __init__(self) -> None:
        view = View(
            instrument_name="redwingscale_request_seconds",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_SECONDS),
        )
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()], views=[view], shutdown_on_exit=False
        )
        meter = self._provider.get_meter("redwingscale")
        self._meter = meter
        self._requests = meter.create_counter("redwingscale_ingress_requests", unit="1")
        self._seconds = meter.create_histogram("redwingscale_request_seconds", unit="s")
        meter.create_observable_gauge("redwingscale_threads", callbacks=[observe_threads])
        self.long_pauses = meter.create_counter("redwingscale_long_pauses", unit="1")
        self.held_prompts = meter.create_counter("redwingscale_held_prompts", unit="1")
        self._first_events = meter.create_counter("redwingscale_first_events", unit="1")
        self.orders = meter.create_counter("redwingscale_swap_orders", unit="1")
        self.returns = meter.create_counter("redwingscale_returns", unit="1")
        self.passed_on = meter.create_counter("redwingscale_passed_on", unit="1")
        self.closed_unread = meter.create_counter("redwingscale_closed_unread", unit="1")
        self.answers_cut = meter.create_counter("redwingscale_answers_cut", unit="1")
        self.repeats = meter.create_counter("redwingscale_repeats", unit="1")
        self._resumed = meter.create_counter("redwingscale_resumed_streams", unit="1")
        self.taken_up = meter.create_counter("redwingscale_taken_up_streams", unit="1")
        self._origin_datagrams = meter.create_counter("redwingscale_origin_datagrams", unit="1")
        self._origin_bytes = meter.create_counter("redwingscale_origin_bytes", unit="By")
        self.suspects = meter.create_counter("redwingscale_suspects", unit="1")
        self.suspect_parts = meter.create_counter("redwingscale_suspect_parts", unit="1")
        self.places = meter.create_counter("redwingscale_places", unit="1")
        self.swaps_given_up = meter.create_counter("redwingscale_swaps_given_up", unit="1")
        self.staged_loads = meter.create_counter("redwingscale_staged_loads", unit="1")
        self.store_eras = meter.create_counter("redwingscale_store_eras", unit="1")
        self.without_copy = meter.create_gauge("redwingscale_models_without_copy", unit="1")

    def record_request(self, request: IngressRequest, outcome: str) -> float:
        """Count an ended request; return its duration in seconds."""
        seconds = time.monotonic() - request.arrived_at
        self._requests.add(1, {"outcome": outcome})
        self._seconds.record(seconds, {"outcome": outcome})
        return seconds

    def record_resumptions(self, *, by_caller: bool, software: Sequence[str]) -> None:
        """Count the times that a stream went on, by a try of its caller or within an answer.

        ``software`` are the versions that wrote the events of the answer, in order; those of
        earlier answers are not known here.
        """
        if by_caller and software:
            self._resumed.add(1, {"within": "tries", "software": "unknown"})
        if len(software) > 1:
            self._resumed.add(len(software) - 1, {"within": "answer", "software": "other"})

    def record_origin_datagrams(self, kind: str, datagrams: int, size: int) -> None:
        """Count datagrams of ``size`` bytes in all that tell or ask how a stream began."""
        self._origin_datagrams.add(datagrams, {"kind": kind})
        self._origin_bytes.add(size, {"kind": kind})

    def observe_bytes_held(self, read: Callable[[], int]) -> None:
        """Report ``read()``, the bytes held for callers and upstreams, as a gauge."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(
            "redwingscale_bytes_held", callbacks=[observe], unit="1"
        )

    def observe_list_age(self, read: Callable[[], float]) -> None:
        """Report ``read()``, the seconds since the list of upstreams was known to be current."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(
            "redwingscale_list_age_seconds", callbacks=[observe], unit="s"
        )

    def observe_repeats_left(self, read: Callable[[], dict[str, Usage]]) -> None:
        """Report the repeats that may be sent now, by service, as a gauge."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(usage.allowed - usage.used, {"service": service})
                for service, usage in read().items()
            ]

        self._meter.create_observable_gauge(
            "redwingscale_repeats_left", callbacks=[observe], unit="1"
        )

    def record_first_event(self, ratio: float) -> None:
        """Count a first event by the ``ratio`` of its real to its expected time."""
        near = 1.0 / FIRST_EVENT_NEAR_FACTOR <= ratio <= FIRST_EVENT_NEAR_FACTOR
        came = "as_expected" if near else ("late" if ratio > 1.0 else "early")
        self._first_events.add(1, {"came": came})

    def prometheus_page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(REGISTRY))
