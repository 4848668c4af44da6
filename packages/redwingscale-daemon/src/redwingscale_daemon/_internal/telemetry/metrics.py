"""OpenTelemetry metrics: a Prometheus page, and OTLP export if an endpoint is set."""

from collections.abc import Callable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from prometheus_client import REGISTRY, generate_latest


class Metrics:
    """The metrics of one instance."""

    def __init__(self, otlp_endpoint: str) -> None:
        readers: list[MetricReader] = [PrometheusMetricReader()]
        if otlp_endpoint:
            readers.append(_otlp_reader(otlp_endpoint))
        self._provider = MeterProvider(metric_readers=readers, shutdown_on_exit=False)
        meter = self._meter = self._provider.get_meter("redwingscale")
        self.requests = meter.create_counter("redwingscale_requests", unit="1")
        self.refusals = meter.create_counter("redwingscale_refusals", unit="1")
        self.attempts = meter.create_counter("redwingscale_attempts", unit="1")
        self.resumes = meter.create_counter("redwingscale_resumes", unit="1")
        self.retries = meter.create_counter("redwingscale_retries", unit="1")
        self.tokens = meter.create_counter("redwingscale_tokens", unit="1")
        self.invalid_reports = meter.create_counter("redwingscale_invalid_reports", unit="1")
        self.orders = meter.create_counter("redwingscale_orders", unit="1")
        self.claims = meter.create_counter("redwingscale_claims", unit="1")
        self.first_token = meter.create_histogram("redwingscale_first_token_seconds", unit="s")

    def observe(self, counters: Mapping[str, Callable[[], int]]) -> None:
        """Export counters that other parts keep themselves, by metric name.

        Their values are read at each collection.
        """
        for name, read in counters.items():
            self._meter.create_observable_counter(name, [_observation(read)], unit="1")

    def prometheus_page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Export what has not been exported, and stop."""
        self._provider.shutdown()


def _observation(read: Callable[[], int]) -> Callable[[CallbackOptions], list[Observation]]:
    return lambda _: [Observation(read())]


def _otlp_reader(endpoint: str) -> MetricReader:
    # Imported here: an instance without an endpoint saves the exporter's memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=f"{endpoint}/v1/metrics"))
