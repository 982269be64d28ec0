"""The settings file that the platform writes for each process."""

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from filbertdrift.errors import SettingsError
from filbertdrift.retrybudget import RetryLimits

SETTINGS_VARIABLE = 'FILBERTDRIFT_NODE_FILE'

DEFAULT_GRACE_S = 6.0
# The port that deploy/system.toml names for metrics.
METRICS_PORT = 9464


class _Table(BaseModel):
    # The platform adds fields from time to time.
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Listen(_Table):
    outbound: str
    ready: str
    control: str


class _Platform(_Table):
    address: str


class _Settings(_Table):
    node_name: str
    ip: str
    zone: str
    region: str = ''
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bounds: tuple[str, ...] = ()
    app_addr: str
    service: str
    listen: _Listen
    platform: _Platform
    heartbeat_s: float = Field(default=1.0, gt=0)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform tells a process.

    Args:
        name: The node's name, for logs.
        peer_address: Where the other nodes reach this one.
        peer_port: The port of all nodes for each other.
        caller_address: Where callers and the local target send requests.
        ready_address: Where the platform asks whether the node is ready.
        target_calls_address: Where the local target sends its heartbeats.
        metrics_address: Where scrapers fetch the metrics.
        target_address: Where the local target listens.
        service: The local target's service.
        domain: The failure domain.
        region: The region.
        seeds: Hosts of other nodes, perhaps stale.
        store_address: The metadata store.
        retry_limits: The retry budget of all nodes together.
        end_grace_s: Time from the order to end to the kill.
    """

    name: str
    peer_address: str
    peer_port: int
    caller_address: str
    ready_address: str
    target_calls_address: str
    metrics_address: str
    target_address: str
    service: str
    domain: str
    region: str
    seeds: Sequence[str]
    store_address: str
    retry_limits: RetryLimits
    end_grace_s: float


def load_platform_settings(path: str) -> PlatformSettings:
    """Return the checked settings of a file.

    Args:
        path: The TOML file.

    Raises:
        SettingsError: It is missing or invalid; the reason names each fault.
    """
    try:
        raw = tomllib.loads(Path(path).read_text('utf-8'))
        model = _Settings.model_validate(raw)
        bounds = _bounds(model.bounds)
    except (OSError, ValueError) as exc:
        raise SettingsError(_explain(path, exc), step='settings') from exc
    port = model.internal_port_range[0]
    defaults = RetryLimits()
    return PlatformSettings(
        name=model.node_name,
        peer_address=f'{model.ip}:{port}',
        peer_port=port,
        caller_address=model.listen.outbound,
        ready_address=model.listen.ready,
        target_calls_address=model.listen.control,
        metrics_address=f'{model.ip}:{METRICS_PORT}',
        target_address=model.app_addr,
        service=model.service,
        domain=model.zone,
        region=model.region,
        # A seed is the address for targets' calls on another instance; nodes
        # meet on the same host at the port for each other.
        seeds=[f'{seed.rpartition(":")[0]}:{port}' for seed in model.seeds],
        store_address=model.platform.address,
        retry_limits=RetryLimits(
            ratio=bounds.get('retry_budget_ratio', defaults.ratio),
            extra=bounds.get('retry_budget_extra', defaults.extra),
            window_s=bounds.get('budget_window_s', defaults.window_s),
        ),
        end_grace_s=bounds.get('grace_s', DEFAULT_GRACE_S),
    )


def _bounds(texts: Sequence[str]) -> dict[str, float]:
    """Return the bounds that are numbers; others say true or false."""
    found = {}
    for text in texts:
        name, _, number = text.partition('=')
        if number not in {'true', 'false'}:
            found[name] = float(number)
    return found


def _explain(path: str, exc: Exception) -> str:
    if not isinstance(exc, ValidationError):
        return f'{path}: {exc}'
    faults = [
        f'{path}: {".".join(str(part) for part in fault["loc"])}: '
        f'{fault["msg"]}'
        for fault in exc.errors()
    ]
    return '\n'.join(faults)
