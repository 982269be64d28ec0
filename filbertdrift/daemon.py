"""The node process: logging, wiring, metrics, start and graceful stop."""

import asyncio
import random
import signal
import sys
import time
from collections.abc import Mapping

import uvloop
from loguru import logger

from filbertdrift.admin import AdminServer
from filbertdrift.errors import SettingsError
from filbertdrift.identity import Identity
from filbertdrift.log import open_log
from filbertdrift.metrics import NodeCollector
from filbertdrift.network import TcpNetwork, split_address
from filbertdrift.node import Node
from filbertdrift.profile import PROFILES
from filbertdrift.settings import LoggingSection, Settings
from filbertdrift.target import HttpTarget
from filbertdrift.tracing import Tracer

MS_PER_S = 1000
TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[node]} {message}'


def run_node(settings: Settings) -> None:
    """Run one node until SIGTERM or SIGINT, then drain it.

    Args:
        settings: The validated settings.

    Raises:
        SettingsError: A listening address cannot be bound.
    """
    configure_logging(settings.logging, settings.node.peer_address)
    uvloop.run(_run(settings))


def configure_logging(section: LoggingSection, node: str) -> None:
    """Log to standard error as text or JSON.

    Args:
        section: Level and format of the log.
        node: The node's address, added to each record.
    """
    logger.remove()
    logger.configure(extra={'node': node})
    logger.add(
        sys.stderr,
        level=section.level,
        format=TEXT_FORMAT,
        serialize=section.format == 'json',
    )


def build_node(settings: Settings) -> Node:
    """Build a node on TCP connections and the configured log.

    Args:
        settings: The validated settings.
    """
    identity = Identity(
        address=settings.node.peer_address,
        domain=settings.node.domain,
        region=settings.node.region,
        generation=int(time.time() * MS_PER_S),
    )
    return Node(
        identity=identity,
        network=TcpNetwork(identity.address),
        log=open_log(settings.log.url),
        profile=PROFILES[settings.control.profile],
        seeds=settings.peers.seeds,
        open_target=HttpTarget,
        checkpoint_interval_s=settings.log.checkpoint_interval_s,
        claim_ttl_s=settings.log.claim_ttl_s,
        rng=random.Random(),  # noqa: S311
        tracer=Tracer(settings.tracing.sampled, identity.address),
    )


def build_collector(node: Node) -> NodeCollector:
    """Build the metrics collector of a node."""
    collector = NodeCollector()
    sources: Mapping[str, object] = {
        'requests': node.forwarder.counters,
        'served': node.server.counters,
        'membership': node.membership.counters,
        'pings': node.membership.prober.counters,
        'member_sync': node.membership.sync.counters,
        'config': node.replica.counters,
        'log_reader': node.reader.counters,
        'distribution': node.distributor.counters,
        'node': node.counters,
        'callers': node.callers.counters,
        'claims': node.claims.counters,
        'crashes': node.crashes.counters,
        'health': node.health.counters,
        'registration': node.registration.counters,
        'supervisor': node.supervisor.counters,
        'log': node.log.counters,
    }
    for name, source in sources.items():
        collector.add_counters(name, source)
    counters = node.network.counters
    collector.add_labelled_counter('sent_bytes', counters.sent_bytes)
    collector.add_labelled_counter('sent_messages', counters.sent_messages)
    collector.add_labelled_counter(
        'received_messages', counters.received_messages
    )
    collector.add_histogram(node.request_durations)
    collector.add_gauge('config_offset', lambda: node.replica.state.offset)
    collector.add_gauge('members', lambda: len(node.membership.table))
    collector.add_gauge('peer_links', lambda: len(node.links))
    return collector


async def _run(settings: Settings) -> None:
    node = build_node(settings)
    admin = AdminServer(
        node,
        build_collector(node),
        settings.node.admin_address,
    )
    await _start_listeners(node, admin, settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    logger.info('started')
    await stopping.wait()
    await node.drain()
    await admin.stop()
    await node.stop()
    logger.info('stopped')


async def _start_listeners(
    node: Node, admin: AdminServer, settings: Settings
) -> None:
    key = 'peer_address'
    try:
        await node.start()
        key = 'admin_address'
        await admin.start()
        key = 'caller_address'
        host, port = split_address(settings.node.caller_address)
        await node.callers.start(host, port)
    except OSError as exc:
        address = getattr(settings.node, key)
        reason = f'[node] {key}: cannot listen on {address}: {exc.strerror}'
        raise SettingsError(reason, step='start') from exc
