"""Distributed tracing: a span for each hop, propagated as W3C traceparent."""

import contextlib
from collections.abc import Iterator

from loguru import logger
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from filbertdrift.http1 import Headers, find_header

TRACEPARENT = b'traceparent'
TRACER_NAME = 'filbertdrift'


class LogExporter(SpanExporter):
    """A span exporter that writes each span as one log line."""

    def export(self, spans: list[ReadableSpan]) -> SpanExportResult:  # type: ignore[override]
        """Write finished spans to the log."""
        for span in spans:
            logger.bind(span=span.to_json(indent=None)).info(
                'span {}',
                span.name,
            )
        return SpanExportResult.SUCCESS


class Tracer:
    """Records the spans of requests at one node.

    Requests whose traceparent has a sampling decision follow it; of the
    others a share is sampled.

    Args:
        sampled: The share of requests to sample, from 0 to 1; zero turns
            tracing off.
        node: This node's address, the service name of every span.
        exporter: Exports finished spans, to the log by default.
    """

    def __init__(
        self,
        sampled: float = 0,
        node: str = '',
        exporter: SpanExporter | None = None,
    ) -> None:
        """Set up the provider, unless tracing is off."""
        self._provider: TracerProvider | None = None
        if sampled > 0:
            self._provider = TracerProvider(
                resource=Resource.create({'service.name': node}),
                sampler=ParentBased(TraceIdRatioBased(sampled)),
            )
            self._provider.add_span_processor(
                BatchSpanProcessor(exporter or LogExporter()),
            )
        self._propagator = TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(
        self,
        name: str,
        headers: Headers,
        **attributes: str,
    ) -> Iterator[Headers]:
        """Record the span of one hop while the context is entered.

        Args:
            name: The name of the hop.
            headers: The request's headers; a traceparent names the parent.
            attributes: The attributes of the span.

        Yields:
            The headers of the next hop, with the span as parent.
        """
        if self._provider is None:
            yield headers
            return
        parent = find_header(headers, TRACEPARENT)
        context = self._propagator.extract({'traceparent': parent})
        tracer = self._provider.get_tracer(TRACER_NAME)
        with tracer.start_as_current_span(name, context) as span:
            for key, text in attributes.items():
                span.set_attribute(key, text)
            yield self._inject_traceparent(headers, span)

    def flush(self) -> None:
        """Export finished spans now."""
        if self._provider:
            self._provider.force_flush()

    def close(self) -> None:
        """Export finished spans and shut down."""
        if self._provider:
            self._provider.shutdown()

    def _inject_traceparent(
        self, headers: Headers, span: trace.Span
    ) -> Headers:
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(span)
        self._propagator.inject(carrier, context)
        kept = [header for header in headers if header[0] != TRACEPARENT]
        traceparent = carrier.get('traceparent')
        if traceparent:
            kept.append((TRACEPARENT, traceparent.encode()))
        return kept
