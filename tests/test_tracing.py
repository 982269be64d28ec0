"""Distributed tracing across the hops of a request."""

import asyncio

from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.tracing import Tracer
from tests.builders import run_virtual, small_fleet

PARENT = b'00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class TracingTest(TestCase):
    """Spans of ingress and gate continue the trace of the caller."""

    def test_span_for_each_hop(self) -> None:
        exporter = InMemorySpanExporter()
        run_virtual(self._call(exporter))
        spans = {span.name: span for span in exporter.get_finished_spans()}
        self.assertThat(sorted(spans), Equals(['entry', 'gate']))
        trace_ids = {span.context.trace_id for span in spans.values()}
        self.assertThat(trace_ids, Equals({int(PARENT[3:35], 16)}))
        gate = spans['gate']
        self.assertThat(
            gate.parent.span_id if gate.parent else 0,
            Equals(spans['entry'].context.span_id),
        )

    async def _call(self, exporter: InMemorySpanExporter) -> None:
        fleet = await small_fleet(seed=31)
        tracers = []
        for node in fleet.nodes:
            node.tracer = Tracer(1.0, node.identity.address, exporter)
            node.server._tracer = node.tracer
            tracers.append(node.tracer)
        response = await fleet.call(
            'a-0:7000',
            '/ledger/x',
            headers=[(b'traceparent', PARENT)],
        )
        await response.part(1)
        response.close()
        await asyncio.sleep(0.1)
        for tracer in tracers:
            tracer.flush()
