"""Settings of a mesh node, fixed at its start."""

from collections.abc import Sequence
from dataclasses import dataclass

from filbertdrift.accounts.quota_bounds import DEFAULT_BOUNDS, QuotaBounds
from filbertdrift.retrybudget import RetryLimits
from filbertdrift.rollouts.control import RolloutSettings

DEFAULT_CONFIG_APPLY_S = 2.0


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of a mesh node, fixed at start.

    Args:
        caller_address: Where the ingress listens for callers and the local
            target, None to not listen.
        caller_service: The service of the local target.
        seeds: Addresses of the nodes to contact first; may be outdated.
        config_stream: The log stream with the operator's records.
        config_key: The key of the configuration in that stream.
        directory_stream: The log stream with the addresses of nodes.
        departures_stream: The log stream with the departures of targets.
        retry_limits: Limits of the retry budget that all nodes share.
        termination_grace_s: Time between SIGTERM and SIGKILL.
        config_apply_s: How long after its acknowledgement a change may take to
            be in force everywhere.
        link_mbps: Capacity of this node's link in Mbit/s, None if unknown.
        rollouts: Settings of roll-outs, None if there are none.
        revoke_s: How long after its acknowledgement a change that withdraws a
            key may leave it honoured, None for no such limit.
        quota_bounds: What an account may send in a window.
        balances_by_cost: Where targets state how long work takes on their
            machine, and where there are client accounts, choose targets by
            expected completion and admit by expected work.
    """

    caller_address: tuple[str, int] | None
    caller_service: str
    seeds: Sequence[str]
    config_stream: str
    config_key: str
    directory_stream: str
    departures_stream: str
    retry_limits: RetryLimits
    termination_grace_s: float
    config_apply_s: float = DEFAULT_CONFIG_APPLY_S
    link_mbps: float | None = None
    rollouts: RolloutSettings | None = None
    revoke_s: float | None = None
    quota_bounds: QuotaBounds = DEFAULT_BOUNDS
    balances_by_cost: bool = False
