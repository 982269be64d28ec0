"""Immutable snapshots of the configuration and targets that a node routes by.

A node replaces its snapshot atomically; a request uses the same snapshot from
start to end.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from filbertdrift.accounts.directory import AccountDirectory
from filbertdrift.accounts.inifile import build_accounts
from filbertdrift.configfile import (
    ExemptablePolicyModel,
    MergedConfig,
    PolicyModel,
)
from filbertdrift.configtypes import PRIORITY_BY_IMPORTANCE
from filbertdrift.fold import ConfigState
from filbertdrift.members import Member

_PARAMETER_PREFIX = '{'
_WILDCARD = '*'


@dataclass(frozen=True, slots=True)
class TargetSet:
    """The targets of a service, their probes and refusals."""

    name: str
    service: str
    probe_path: str
    probe_interval_s: float
    slow_start_s: float
    refusal_statuses: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Policy:
    """Timeouts, retries, idempotency and importance of a route's requests."""

    name: str
    timeout_s: float
    stall_s: float
    idempotent_methods: frozenset[str]
    retries: int
    importance: int
    key_honoured: bool
    key_required: bool
    customer_header: bytes
    is_auth_exempt: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Matches requests to a target set and a policy."""

    name: str
    path: str
    methods: frozenset[str]
    targets: TargetSet
    policy: Policy


@dataclass(slots=True)
class _PathNode:
    """A node of the trie of path segments.

    Routes of a node end at its segment; wildcard routes match all paths below.
    """

    literals: dict[str, '_PathNode'] = field(default_factory=dict)
    parameter: '_PathNode | None' = None
    routes: list[Route] = field(default_factory=list)
    wildcard_routes: list[Route] = field(default_factory=list)


class RouteTable:
    """Routes by path and method; the most specific path has precedence."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes."""
        self._root = _PathNode()
        self.routes = tuple(routes)
        for route in self.routes:
            self._add(route)

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request.

        Args:
            method: The method in upper case.
            path: The request target, including the query.

        Returns:
            The route, or None if no route matches.
        """
        path_only = path.split('?', 1)[0]
        segments = path_only.strip('/').split('/')
        return _find_route(self._root, segments, 0, method)

    def _add(self, route: Route) -> None:
        node = self._root
        for segment in route.path.strip('/').split('/'):
            if segment == _WILDCARD:
                node.wildcard_routes.append(route)
                return
            if segment.startswith(_PARAMETER_PREFIX):
                node.parameter = node.parameter or _PathNode()
                node = node.parameter
            else:
                node = node.literals.setdefault(segment, _PathNode())
        node.routes.append(route)


@dataclass(frozen=True)
class Snapshot:
    """The routes and targets of a node at one moment.

    Args:
        offset: The offset of the configuration.
        digest: The digest of the configuration.
        table: The routes.
        target_sets: Target sets by name.
        endpoints: Members with a target, by service of the target sets.
        accounts: The client accounts, None if the configuration has none.
    """

    offset: int
    digest: bytes
    table: RouteTable
    target_sets: Mapping[str, TargetSet]
    endpoints: Mapping[str, Sequence[Member]]
    accounts: AccountDirectory | None = None

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches."""
        return self.table.match(method, path)

    def find_dangling_routes(self) -> Sequence[str]:
        """Return the names of routes without their target set or service."""
        return [
            route.name
            for route in self.table.routes
            if self.target_sets.get(route.targets.name) is not route.targets
            or route.targets.service not in self.endpoints
        ]


def build_snapshot(
    state: ConfigState,
    endpoints: Mapping[str, Sequence[Member]],
) -> Snapshot:
    """Build the snapshot of a configuration and the known targets.

    Args:
        state: The configuration.
        endpoints: Known members by service; services may be missing.

    Returns:
        A snapshot whose endpoints contain every service of a target set, with
        an empty sequence if no member is known.
    """
    merged = state.merged
    target_sets = _target_sets(merged)
    policies = {
        name: _policy(name, model) for name, model in merged.policies.items()
    }
    routes = [
        Route(
            name=name,
            path=model.path,
            methods=frozenset(model.methods),
            targets=target_sets[model.targets],
            policy=policies[model.policy],
        )
        for name, model in sorted(merged.routes.items())
    ]
    services = sorted(
        {target_set.service for target_set in target_sets.values()}
    )
    return Snapshot(
        offset=state.offset,
        digest=state.digest,
        table=RouteTable(routes),
        target_sets=target_sets,
        endpoints={
            service: tuple(endpoints.get(service, ())) for service in services
        },
        accounts=build_accounts(merged.accounts),
    )


def with_endpoints(
    snapshot: Snapshot,
    endpoints: Mapping[str, Sequence[Member]],
) -> Snapshot:
    """Return a copy of a snapshot with updated endpoints."""
    return Snapshot(
        offset=snapshot.offset,
        digest=snapshot.digest,
        table=snapshot.table,
        target_sets=snapshot.target_sets,
        endpoints={
            service: tuple(endpoints.get(service, members))
            for service, members in snapshot.endpoints.items()
        },
        accounts=snapshot.accounts,
    )


def _target_sets(merged: MergedConfig) -> dict[str, TargetSet]:
    return {
        name: TargetSet(
            name=name,
            service=model.service,
            probe_path=model.probe_path,
            probe_interval_s=model.probe_interval_ms / 1000,
            slow_start_s=model.slow_start_ms / 1000,
            refusal_statuses=model.refusal_statuses,
        )
        for name, model in merged.targets.items()
    }


def _policy(name: str, model: PolicyModel) -> Policy:
    return Policy(
        name=name,
        timeout_s=model.timeout_ms / 1000,
        stall_s=model.stall_ms / 1000,
        idempotent_methods=frozenset(model.idempotent_methods),
        retries=model.retries,
        importance=PRIORITY_BY_IMPORTANCE[model.importance],
        key_honoured=model.idempotency_key != 'ignored',
        key_required=model.idempotency_key == 'required',
        customer_header=model.customer_header.lower().encode(),
        is_auth_exempt=(
            isinstance(model, ExemptablePolicyModel) and model.auth_exempt
        ),
    )


def _find_route(
    node: _PathNode,
    segments: Sequence[str],
    depth: int,
    method: str,
) -> Route | None:
    if depth == len(segments):
        route = _select_method(node.routes, method)
        return route or _select_method(node.wildcard_routes, method)
    literal = node.literals.get(segments[depth])
    for child in (literal, node.parameter):
        if child is not None:
            route = _find_route(child, segments, depth + 1, method)
            if route:
                return route
    return _select_method(node.wildcard_routes, method)


def _select_method(routes: Sequence[Route], method: str) -> Route | None:
    for route in routes:
        if not route.methods or method in route.methods:
            return route
    return None
