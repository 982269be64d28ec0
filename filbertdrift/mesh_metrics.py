"""The metrics of a MeshNode."""

from collections.abc import Mapping

from filbertdrift.mesh import MeshNode
from filbertdrift.metrics import NodeCollector
from filbertdrift.rollouts.control import RolloutControl

# In place of a limit that does not exist.
NO_LIMIT = -1.0


def build_mesh_collector(node: MeshNode) -> NodeCollector:
    """Create the collector of a node's metrics.

    Args:
        node: The node, whose components hold the counters.
    """
    collector = NodeCollector()
    sources: Mapping[str, object] = {
        'config_exchange': node.exchange.counters,
        'callers': node.entry.counters,
        'arrivals': node.entry.arrivals.counters,
        'accounts': node.authenticator.counters,
        'requests': node.dispatcher.counters,
        'handover': node.handover.counters,
        'target': node.lifecycle.counters,
        'departures': node.departure_keeper.counters,
        'slot_time': node.lifecycle.slot_time,
        'config': node.holder.counters,
        'config_watch': node.watch.counters,
        'store': node.log.counters,
        'membership': node.membership.counters,
        'pings': node.membership.prober.counters,
        'health': node.health.counters,
        'crashes': node.crashes.counters,
        'supervisor': node.supervisor.counters,
        'node': node.counters,
        'quota': node.quota.counters,
        'quota_asks': node.quota.asks,
    }
    for name, source in sources.items():
        collector.add_counters(name, source)
    collector.add_account_counters(node.account_usage)
    network = node.network.counters
    collector.add_labelled_counter('sent_bytes', network.sent_bytes)
    collector.add_labelled_counter(
        'domain_sent_bytes', node.domain_traffic.sent_bytes
    )
    collector.add_labelled_counter('sent_messages', network.sent_messages)
    collector.add_labelled_counter(
        'received_messages', network.received_messages
    )
    collector.add_histogram(node.handover.transit_durations)
    collector.add_histogram(node.request_durations)
    collector.add_gauge('config_version', lambda: node.holder.version)
    collector.add_gauge(
        'config_announced_version', lambda: node.holder.announced_version
    )
    collector.add_gauge('config_behind_seconds', node.holder.behind_s)
    collector.add_gauge(
        'config_confirmed_milliseconds',
        lambda: node.config_evidence()['confirmed_ms'],
    )
    collector.add_gauge(
        'config_heard_milliseconds',
        lambda: node.config_evidence()['heard_ms'],
    )
    collector.add_gauge('store_era', lambda: node.freshness.era)
    collector.add_gauge('members', lambda: len(node.membership.table))
    collector.add_gauge('peer_links', lambda: len(node.links))
    collector.add_gauge('retries_spent', lambda: node.budget.spent)
    collector.add_gauge('retries_denied', lambda: node.budget.denied)
    collector.add_gauge('gate_running', lambda: _read_gate(node, 'running'))
    collector.add_gauge('gate_waiting', lambda: _read_gate(node, 'waiting'))
    collector.add_gauge('gate_slots', lambda: _read_gate(node, 'slots'))
    collector.add_gauge('gate_held_back', lambda: _read_held_back(node))
    collector.add_gauge('gate_sent_per_second', lambda: _read_rate(node))
    collector.add_gauge('gate_limit_per_second', lambda: _read_limit(node))
    if node.rollouts is not None:
        _add_rollouts(collector, node.rollouts)
    return collector


def _add_rollouts(collector: NodeCollector, rollouts: RolloutControl) -> None:
    collector.add_counters('rollouts', rollouts.counters)
    collector.add_counters('rollout_steps', rollouts.step_log.counters)
    outcomes = rollouts.outcomes
    collector.add_labelled_counter('rollout_responses', outcomes.responses)
    collector.add_labelled_counter('rollout_failures', outcomes.failures)
    collector.add_gauge('rollouts_running', rollouts.count_running)
    collector.add_gauge('rollouts_driven', lambda: len(rollouts.drivers))


def _read_held_back(node: MeshNode) -> int:
    """Return how many requests the gate refused as their calls fail."""
    current = node.lifecycle.current
    return current.gate.counters.held_back if current else 0


def _read_rate(node: MeshNode) -> float:
    current = node.lifecycle.current
    return current.gate.limit.sent_per_s() if current else 0


def _read_limit(node: MeshNode) -> float:
    """Return the limit that the local target states, NO_LIMIT for none."""
    current = node.lifecycle.current
    limit_per_s = current.gate.limit.per_s if current else None
    return NO_LIMIT if limit_per_s is None else limit_per_s


def _read_gate(node: MeshNode, field: str) -> int:
    current = node.lifecycle.current
    return int(getattr(current.gate, field)) if current else 0
