"""Traces: a span for each hop; the trace context is read from and written to headers."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import Span, SpanKind, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


class Tracing:
    """Starts spans, and exports them with OTLP/HTTP if an endpoint is set."""

    def __init__(self, instance: str, otlp_endpoint: str) -> None:
        resource = Resource.create(
            {"service.name": "redwingscaled", "service.instance.id": instance}
        )
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        if otlp_endpoint:
            self._export_to(otlp_endpoint)
        self._tracer = self._provider.get_tracer("redwingscale")

    @contextmanager
    def entry_span(self, name: str, headers: Mapping[str, str]) -> Iterator[Span]:
        """Open the span of a request that was received with ``headers``."""
        context = _PROPAGATOR.extract({"traceparent": headers.get("traceparent", "")})
        span = self._tracer.start_span(name, context=context, kind=SpanKind.SERVER)
        with trace.use_span(span, end_on_exit=False):
            yield span

    @contextmanager
    def hop_span(self, name: str, parent: Span, **attributes: str) -> Iterator[Span]:
        """Open the span of a call to an upstream or a peer, under ``parent``."""
        context = trace.set_span_in_context(parent)
        # Not made current: a generator that keeps the span open may end in another thread,
        # which cannot restore the context of the thread that made the span current.
        span = self._tracer.start_span(
            name, context=context, kind=SpanKind.CLIENT, attributes=attributes
        )
        try:
            yield span
        except Exception as error:
            span.record_exception(error)
            span.set_status(StatusCode.ERROR)
            raise
        finally:
            span.end()

    def close(self) -> None:
        """Export what has not been exported, and stop."""
        self._provider.shutdown()

    def _export_to(self, endpoint: str) -> None:
        # Imported here: an instance without an endpoint saves the exporter's memory.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
        from opentelemetry.sdk.trace.export import BatchSpanProcessor

        exporter = OTLPSpanExporter(endpoint=f"{endpoint}/v1/traces")
        self._provider.add_span_processor(BatchSpanProcessor(exporter))


def trace_headers(span: Span) -> dict[str, str]:
    """Return the headers that pass on the trace context of ``span``."""
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(headers, trace.set_span_in_context(span))
    return headers


def trace_id(span: Span) -> str:
    """Return the trace id of ``span`` in hexadecimal."""
    return format(span.get_span_context().trace_id, "032x")
