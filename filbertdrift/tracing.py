"""Spans of requests, one for each hop, passed on as W3C traceparent."""

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
    """Writes finished spans to the log, one line each."""

    def export(self, spans: list[ReadableSpan]) -> SpanExportResult:  # type: ignore[override]
        """Write spans."""
        for span in spans:
            logger.bind(span=span.to_json(indent=None)).info(
                'span {}',
                span.name,
            )
        return SpanExportResult.SUCCESS


class Tracer:
    """Opens spans if a share of the requests is traced.

    Args:
        sampled: The share of requests that leave spans, from 0 to 1.
        node: This node's address, noted on every span.
        exporter: Where finished spans go.
    """

    def __init__(
        self,
        sampled: float = 0,
        node: str = '',
        exporter: SpanExporter | None = None,
    ) -> None:
        """Start; at a share of zero nothing is set up."""
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
        """Open the span of one hop.

        Args:
            name: The hop.
            headers: The request's headers, with the parent's traceparent.
            attributes: Noted on the span.

        Yields:
            The headers to pass on.
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
            yield self._passed_on(headers, span)

    def flush(self) -> None:
        """Export what is finished."""
        if self._provider:
            self._provider.force_flush()

    def close(self) -> None:
        """Export what is finished and stop."""
        if self._provider:
            self._provider.shutdown()

    def _passed_on(self, headers: Headers, span: trace.Span) -> Headers:
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(span)
        self._propagator.inject(carrier, context)
        kept = [header for header in headers if header[0] != TRACEPARENT]
        traceparent = carrier.get('traceparent')
        if traceparent:
            kept.append((TRACEPARENT, traceparent.encode()))
        return kept
