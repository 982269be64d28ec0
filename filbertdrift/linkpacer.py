"""Paces the bodies that a node receives and sends over its link."""

import asyncio

from loguru import logger

from filbertdrift.inbound import BITS_PER_BYTE, BITS_PER_MBIT, InboundPacer

# Smaller messages are sent at once: they delay others by little.
LARGE_BYTES = 16_384
# A large message is sent once those before it take no longer than this.
MAX_BACKLOG_S = 0.1
# Share of the link for them; its callers and other messages need the rest.
LINK_SHARE = 0.85


class OutboundPacer:
    """Holds large messages back that the node's link cannot send yet.

    What has been written to a connection can't be overtaken: refusals, replies
    and cancellations then wait behind it until they are of no use.

    Args:
        link_mbps: Capacity of the node's link, None for no limit.
    """

    def __init__(self, link_mbps: float | None) -> None:
        """Start without messages."""
        mbps = link_mbps or float('inf')
        self._bytes_per_s = mbps * LINK_SHARE * BITS_PER_MBIT / BITS_PER_BYTE
        # When the link has sent what it was given.
        self._sent_at = 0.0
        self._turns = asyncio.Lock()

    async def wait_to_send(self, size_bytes: int, deadline: float) -> None:
        """Wait until a message may be sent, large ones in their order.

        Args:
            size_bytes: The size of its body.
            deadline: When it has to arrive, on the loop's clock. If its turn
                is later, it is sent out of turn.
        """
        duration_s = size_bytes / self._bytes_per_s
        if size_bytes >= LARGE_BYTES:
            send_by = deadline - MAX_BACKLOG_S - duration_s
            try:
                async with asyncio.timeout_at(send_by):
                    await self._wait_for_turn()
            except TimeoutError:
                logger.bind(event='out_of_turn').info(
                    '{} bytes sent out of turn', size_bytes
                )
        now = asyncio.get_running_loop().time()
        self._sent_at = max(self._sent_at, now) + duration_s

    async def _wait_for_turn(self) -> None:
        async with self._turns:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(self._sent_at - MAX_BACKLOG_S - now, 0))


class LinkPacer:
    """Paces the bodies on a node's link, in both directions.

    Args:
        link_mbps: Capacity of the link, None for no limit.

    Attributes:
        inbound: Paces the bodies of requests to this node.
        outbound: Paces the bodies of its target's responses.
    """

    def __init__(self, link_mbps: float | None) -> None:
        """Start without bodies."""
        self.inbound = InboundPacer(link_mbps)
        self.outbound = OutboundPacer(link_mbps)
