"""Health checks of the local target, within the limit that it states."""

import asyncio

from loguru import logger

from filbertdrift import http1
from filbertdrift.config_holder import ConfigHolder
from filbertdrift.contract import (
    MAX_LOGGED_CHARS,
    HeaderNames,
    parse_statement,
)
from filbertdrift.errors import MalformedMessage
from filbertdrift.incarnation import Incarnation
from filbertdrift.lifecycle import TargetLifecycle


class TargetProbe:
    """Probes the local target.

    Args:
        lifecycle: Tracks the target.
        holder: Holds the configuration, which names the path of the probe.
        header_names: Names of the platform's headers.
    """

    def __init__(
        self,
        lifecycle: TargetLifecycle,
        holder: ConfigHolder,
        header_names: HeaderNames,
    ) -> None:
        """Store the parts."""
        self._lifecycle = lifecycle
        self._holder = holder
        self._header_names = header_names

    async def probe(self) -> bool | None:
        """Probe the target, and return None if it cannot be probed now."""
        current = self._lifecycle.current
        if current is None:
            return True
        config = self._holder.config
        service_config = None
        if config is not None:
            service_config = config.services.get(current.heartbeat.service)
        path = service_config.probe_path if service_config else ''
        if path:
            if current.gate.limit_wait_s:
                # The limit leaves no request for a probe.
                return None
            current.gate.limit.take()
        sent_at = asyncio.get_running_loop().time()

        def on_head(head: http1.ResponseHead) -> None:
            self._check_own(head)
            self._record(current, head, sent_at)

        return await current.target.check_health(path, on_head)

    def _check_own(self, head: http1.ResponseHead) -> None:
        """Raise if a response echoes an id: a probe has none."""
        echoed_id = http1.find_header(
            head.headers, self._header_names.request_id
        )
        if echoed_id:
            logger.bind(
                event='stray_response',
                request='',
                echoed=echoed_id[:MAX_LOGGED_CHARS],
                status=head.status,
            ).info('the target sent another response to a probe')
            raise MalformedMessage('answer of a request', step='probe target')

    def _record(
        self, current: Incarnation, head: http1.ResponseHead, sent_at: float
    ) -> None:
        instance = http1.find_header(head.headers, self._header_names.instance)
        if instance in {'', current.heartbeat.instance}:
            statement = parse_statement(head.headers, self._header_names)
            self._lifecycle.record_statement(current, statement, sent_at)
