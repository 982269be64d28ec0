"""The node process on the platform: wiring, start and graceful stop."""

import argparse
import asyncio
import os
import random
import signal
import time
from collections.abc import Sequence
from types import FrameType

import uvloop
from loguru import logger

from filbertdrift.errors import EXIT_OK, SettingsError
from filbertdrift.eventlog import configure_event_log
from filbertdrift.identity import Identity
from filbertdrift.listener import HttpListener
from filbertdrift.mesh import MeshNode
from filbertdrift.mesh_settings import MeshSettings
from filbertdrift.metrics_endpoint import MetricsHandler
from filbertdrift.network import TcpNetwork, split_address
from filbertdrift.platform.documents import (
    CONFIG_KEY,
    OPERATOR_STREAM,
    ROLLOUT_FORMATS,
    ConfigDecoder,
)
from filbertdrift.platform.headers import HEADERS
from filbertdrift.platform.registry import ReadyCheck, TargetCalls
from filbertdrift.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_platform_settings,
)
from filbertdrift.platform.store import StoreLog
from filbertdrift.profile import PROFILES
from filbertdrift.rollouts.control import RolloutSettings
from filbertdrift.stopping.order import StopOrder
from filbertdrift.stopping.steps import run_step
from filbertdrift.target import HttpTarget

DIRECTORY_STREAM = 'keyed.nodes'
DEPARTURES_STREAM = 'keyed.departures'
MAX_IDLE_TARGET_CONNECTIONS = 64
MS_PER_S = 1000


def run() -> None:
    """Run one node with the settings file that the environment names."""
    options = _parse_options()
    path = os.environ.get(SETTINGS_VARIABLE, '')
    settings = load_platform_settings(path)
    event_log = configure_event_log(settings.name)
    try:
        uvloop.run(_run(settings, balances_by_cost=options.balance_by_cost))
    finally:
        # The interpreter resets handlers of its own to the default as it ends.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        event_log.close()
    # On a busy machine the interpreter takes long to end, and nothing bounds
    # that: it stops the thread that exits in time first.
    os._exit(EXIT_OK)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description='Run one node.')
    parser.add_argument(
        '--balance-by-cost',
        action='store_true',
        help='choose targets and admit requests by expected work',
    )
    return parser.parse_args()


def build_node(
    settings: PlatformSettings, *, balances_by_cost: bool = False
) -> MeshNode:
    """Build a node on TCP connections and the platform's store.

    Args:
        settings: The validated settings.
        balances_by_cost: As in MeshSettings.
    """
    identity = Identity(
        address=settings.peer_address,
        domain=settings.domain,
        region=settings.region,
        generation=int(time.time() * MS_PER_S),
    )
    return MeshNode(
        identity=identity,
        settings=MeshSettings(
            caller_address=split_address(settings.caller_address),
            caller_service=settings.service,
            seeds=settings.seeds,
            config_stream=OPERATOR_STREAM,
            config_key=CONFIG_KEY,
            directory_stream=DIRECTORY_STREAM,
            departures_stream=DEPARTURES_STREAM,
            retry_limits=settings.retry_limits,
            termination_grace_s=settings.termination_grace_s,
            config_apply_s=settings.config_apply_s,
            revoke_s=settings.revoke_s,
            link_mbps=settings.link_mbps,
            rollouts=(
                RolloutSettings(ROLLOUT_FORMATS, settings.rollout_bounds)
                if settings.rollout_bounds
                else None
            ),
            quota_bounds=settings.quota_bounds,
            balances_by_cost=balances_by_cost,
        ),
        network=TcpNetwork(identity.address),
        log=StoreLog(settings.store_address),
        profile=PROFILES['convergence'],
        header_names=HEADERS,
        parse=ConfigDecoder().parse,
        open_target=_open_target,
        rng=random.Random(),  # noqa: S311
    )


def _open_target(service: str, address: str) -> HttpTarget:
    return HttpTarget(address, MAX_IDLE_TARGET_CONNECTIONS)


async def _run(settings: PlatformSettings, *, balances_by_cost: bool) -> None:
    node = build_node(settings, balances_by_cost=balances_by_cost)
    target_calls = TargetCalls(
        node.lifecycle, node.departure_keeper, node.knows_service
    )
    metrics_calls = MetricsHandler(node)
    ready_check = ReadyCheck(lambda: node.is_ready)
    listeners = [
        HttpListener(settings.target_calls_address, target_calls.serve),
        HttpListener(settings.ready_address, ready_check.serve),
        HttpListener(settings.metrics_address, metrics_calls.serve),
    ]
    order = StopOrder(settings.termination_grace_s)
    loop = asyncio.get_running_loop()
    _handle_reload(loop)
    try:
        for listener in listeners:
            await listener.start()
        await node.start()
    except OSError as exc:
        raise SettingsError(f'cannot listen: {exc}', step='start') from exc
    logger.bind(event='started').info('started')
    await _stop(node, listeners, order)


async def _stop(
    node: MeshNode, listeners: Sequence[HttpListener], order: StopOrder
) -> None:
    """Wait for the order to stop and follow it."""
    plan = await order.wait()
    order.log('stopping')
    await run_step('drain', node.drain(plan), plan.drained_by)
    order.log('drained')
    order.phase = 'stop'
    for listener in listeners:
        listener.close()
    await run_step('stop', node.stop(plan.stopped_by), plan.stopped_by)
    order.log('stopped')
    order.phase = 'exit'


def _handle_reload(loop: asyncio.AbstractEventLoop) -> None:
    """Log each SIGHUP; it has no effect once the loop is closed."""

    def on_signal(number: int, frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(_log_reload)

    signal.signal(signal.SIGHUP, on_signal)


def _log_reload() -> None:
    logger.bind(event='reloaded').info('settings changed; none is reloadable')
