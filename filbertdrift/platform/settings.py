"""Loads the settings file that the platform writes for each node."""

import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from filbertdrift.accounts.quota_bounds import DEFAULT_BOUNDS, QuotaBounds
from filbertdrift.errors import SettingsError
from filbertdrift.mesh_settings import DEFAULT_CONFIG_APPLY_S
from filbertdrift.retrybudget import RetryLimits
from filbertdrift.rollouts.plan import Bounds

SETTINGS_VARIABLE = 'FILBERTDRIFT_NODE_FILE'

DEFAULT_TERMINATION_GRACE_S = 6.0
# As both deployments state it.
DEFAULT_REVOKE_S = 5.0
# The port that deploy/system.toml declares for metrics.
METRICS_PORT = 9464
ROLLOUT_CONTRACT = 'rollout'

_STRICT_REVOKE = 'strict_revoke=true'


class _Listen(Struct, frozen=True):
    # For callers and the local target.
    outbound: str
    ready: str
    # For heartbeats of the local target.
    control: str


class _Platform(Struct, frozen=True):
    address: str


class _Limits(Struct, frozen=True):
    # Zero states no limit.
    link_mbps: Annotated[float, Meta(ge=0)] = 0


class _Settings(Struct, frozen=True, kw_only=True):
    node_name: str
    ip: str
    # The failure domain.
    zone: str
    region: str = ''
    # Nodes use the first port for each other.
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...] = ()
    # Limits as name=number, switches as name=true or name=false.
    bounds: tuple[str, ...] = ()
    # The address of the local target.
    app_addr: str
    service: str
    listen: _Listen
    platform: _Platform
    limits: _Limits = _Limits()
    # What the deployment calls for beside routing.
    contracts: tuple[str, ...] = ()
    heartbeat_s: Annotated[float, Meta(gt=0)] = 1.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of a node on the platform.

    Args:
        name: The node's name in logs.
        peer_address: Listening address for peers.
        peer_port: The port on which every node listens for peers.
        caller_address: Listening address for callers and the local target.
        ready_address: Listening address for the readiness check.
        target_calls_address: Listening address for the local target's
            heartbeats.
        metrics_address: Listening address for metrics scrapers.
        target_address: Address of the local target.
        service: Service of the local target.
        domain: Failure domain of the node.
        region: Region of the node.
        seeds: Peer addresses of other nodes; some may be stale.
        store_address: Address of the metadata store.
        retry_limits: The retry budget of all nodes together.
        termination_grace_s: Time between SIGTERM and SIGKILL.
        config_apply_s: How long a change may take to be in force everywhere.
        revoke_s: How long a withdrawn key may be honoured after the change was
            acknowledged, None for as long as a node has not heard of it.
        link_mbps: Capacity of the node's link, None if not stated.
        rollout_bounds: Limits on bad versions, None without roll-outs.
        quota_bounds: What a client account may send in a window.
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
    termination_grace_s: float
    config_apply_s: float
    revoke_s: float | None
    link_mbps: float | None
    rollout_bounds: Bounds | None = None
    quota_bounds: QuotaBounds = DEFAULT_BOUNDS


def load_platform_settings(path: str) -> PlatformSettings:
    """Load and validate the settings of a node.

    Args:
        path: The TOML file.

    Raises:
        SettingsError: The file is missing or invalid; the reason lists every
            error.
    """
    try:
        raw = tomllib.loads(Path(path).read_text('utf-8'))
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}', step='settings') from exc
    faults = [f'{path}: {fault}' for fault in _find_faults(raw)]
    if faults:
        raise SettingsError('\n'.join(faults), step='settings')
    model = msgspec.convert(raw, _Settings)
    bounds = _parse_bounds(model.bounds)
    is_revoke_strict = _STRICT_REVOKE in model.bounds
    revoke_s = bounds.get('revoke_s', DEFAULT_REVOKE_S)
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
        # A seed is the address for heartbeats on another instance; the node on
        # that host listens for peers on the same port as this one.
        seeds=[f'{seed.rpartition(":")[0]}:{port}' for seed in model.seeds],
        store_address=model.platform.address,
        retry_limits=RetryLimits(
            ratio=bounds.get('retry_budget_ratio', defaults.ratio),
            extra=bounds.get('retry_budget_extra', defaults.extra),
            window_s=bounds.get('budget_window_s', defaults.window_s),
        ),
        termination_grace_s=bounds.get('grace_s', DEFAULT_TERMINATION_GRACE_S),
        config_apply_s=bounds.get('config_apply_s', DEFAULT_CONFIG_APPLY_S),
        revoke_s=revoke_s if is_revoke_strict else None,
        link_mbps=model.limits.link_mbps or None,
        rollout_bounds=(
            _build_rollout_bounds(bounds)
            if ROLLOUT_CONTRACT in model.contracts
            else None
        ),
        quota_bounds=_read_quota_bounds(bounds),
    )


def _build_rollout_bounds(bounds: Mapping[str, float]) -> Bounds:
    defaults = Bounds()
    return Bounds(
        expose_share=bounds.get('expose_share', defaults.expose_share),
        slack=bounds.get('bad_version_slack', defaults.slack),
        rollback_s=bounds.get('rollback_s', defaults.rollback_s),
    )


def _read_quota_bounds(bounds: Mapping[str, float]) -> QuotaBounds:
    return QuotaBounds(
        window_s=bounds.get('quota_window_s', DEFAULT_BOUNDS.window_s),
        overage=bounds.get('quota_overage', DEFAULT_BOUNDS.overage),
        slack=bounds.get('quota_slack', DEFAULT_BOUNDS.slack),
    )


def _parse_bounds(texts: Sequence[str]) -> dict[str, float]:
    """Return the numeric bounds; the others are true or false.

    Raises:
        ValueError: A bound is no number.
    """
    found = {}
    for text in texts:
        name, _, number = text.partition('=')
        if number not in {'true', 'false'}:
            found[name] = float(number)
    return found


def _find_faults(raw: dict[str, Any]) -> Iterator[str]:
    """Yield what is wrong with the settings, field by field."""
    for field in msgspec.structs.fields(_Settings):
        is_stated = field.name in raw
        if is_stated:
            yield from _find_field_faults(field, raw[field.name])
        elif field.required:
            yield f'{field.name}: is missing'


def _find_field_faults(
    field: msgspec.structs.FieldInfo, stated: Any
) -> Iterator[str]:
    try:
        found = msgspec.convert(stated, field.type)
        if field.name == 'bounds':
            _parse_bounds(found)
    except (msgspec.ValidationError, ValueError) as exc:
        yield _describe_fault(field.name, str(exc))


def _describe_fault(name: str, reason: str) -> str:
    """Return a fault with the path of the field that it is in."""
    text, _, path = reason.partition(' - at `$')
    return f'{name}{path.rstrip("`")}: {text}'
