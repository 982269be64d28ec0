"""Prefix routes, what they promise, and the table that finds them.

A configuration is immutable and comes whole. Versions only move forward, and
a request keeps the configuration that it began with.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from filbertdrift.errors import MalformedMessage

NO_VERSION = -1

DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 67_108_864
DEFAULT_HEADER_TIMEOUT_S = 5.0
DEFAULT_IDLE_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class PrefixRoute:
    """Where requests under a path prefix go, and what they are promised.

    Args:
        name: The route's name.
        host: The host it belongs to, in lower case.
        prefix: Begins and ends with a slash.
        weighted_services: The services it goes to.
        is_idempotent: Its requests may run more than once.
        timeout_s: The longest time a caller is kept waiting, None for no
            limit besides the caller's own.
        objective_s: An answer within it is worth most.
        rank: Zero is the most urgent.
        max_attempts: Targets that one request may be handed to.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float | None
    objective_s: float
    rank: int
    max_attempts: int

    def pick_service(self, rng: random.Random) -> str:
        """Return the service for one request, drawn by weight."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [share.weight for share in self.weighted_services]
        return rng.choices(self.weighted_services, weights)[0].service


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings that hold for all targets of a service.

    Args:
        name: The service's name.
        probe_path: The path of the health check, empty without one.
        max_connections: Connections that a target accepts from all callers.
    """

    name: str
    probe_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the configuration.

    Args:
        version: Grows with each change, in uneven steps.
        routes: All routes.
        services: Settings by service.
        limits: Limits for callers.
    """

    version: int
    routes: tuple[PrefixRoute, ...]
    services: Mapping[str, ServiceConfig]
    limits: CallerLimits


class PrefixTable:
    """Routes found by host and the longest matching path prefix."""

    def __init__(self, routes: Iterable[PrefixRoute]) -> None:
        """Index the routes."""
        self._hosts: dict[str, dict[str, PrefixRoute]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request.

        Args:
            host: The host, perhaps with a port, in any case.
            path: The request target, query included.

        Returns:
            The route, or None if no route matches.
        """
        prefixes = self._hosts.get(normalize_host(host))
        if prefixes is None:
            return None
        path = path.partition('?')[0]
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def normalize_host(host: str) -> str:
    """Return a host without its port, in lower case."""
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        host = name
    return host.lower().rstrip('.')


def referenced_services(config: RoutingConfig) -> Sequence[str]:
    """Return the services that routes go to, sorted."""
    found = {
        share.service
        for route in config.routes
        for share in route.weighted_services
    }
    return sorted(found)


def check_references(config: RoutingConfig) -> None:
    """Check that every service that routes go to is part of a configuration.

    Raises:
        MalformedMessage: A route points at a service that is not.
    """
    dangling = [
        found
        for found in referenced_services(config)
        if found not in config.services
    ]
    if dangling:
        raise MalformedMessage(
            f'routes to unknown services: {", ".join(dangling)}',
            step='check configuration',
        )
