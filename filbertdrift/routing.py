"""Routing configuration: prefix routes, services and the route table.

A configuration is immutable and always complete. Versions only increase, and a
request keeps the configuration that was in force when it entered.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from filbertdrift.accounts.directory import ClientAccount
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
    """A route for the requests of one host under one path prefix.

    Args:
        name: The route's name.
        host: The host that it matches, in lower case.
        prefix: The path prefix, with a slash at both ends.
        weighted_services: The services that share its requests.
        is_idempotent: Its requests may run more than once.
        timeout_s: Limit on the time to a response, None for the caller's
            timeout alone.
        objective_s: The latency objective.
        rank: The priority; zero is the most urgent.
        max_attempts: How many targets may receive one request.
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
        """Return the service for one request, chosen at random by weight."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [share.weight for share in self.weighted_services]
        return rng.choices(self.weighted_services, weights)[0].service


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings that apply to all targets of a service.

    Args:
        name: The service's name.
        probe_path: The path of the health check, empty if there is none.
        max_connections: Connections that one target accepts in total.
    """

    name: str
    probe_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on their connections."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the routing configuration.

    Args:
        version: Increases with each change, by one or more.
        routes: All routes.
        services: Settings by service name.
        limits: Limits for callers.
        accounts: The client accounts.
    """

    version: int
    routes: tuple[PrefixRoute, ...]
    services: Mapping[str, ServiceConfig]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] = ()


class PrefixTable:
    """Looks up routes by host and the longest matching path prefix."""

    def __init__(self, routes: Iterable[PrefixRoute]) -> None:
        """Index the routes."""
        self._hosts: dict[str, dict[str, PrefixRoute]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> PrefixRoute | None:
        """Return the route of a request, None if no route matches.

        Args:
            host: The host, with or without a port, in any case.
            path: The request target, query included.
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
    """Return a host in lower case, without its port and trailing dots."""
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        host = name
    return host.lower().rstrip('.')


def referenced_services(config: RoutingConfig) -> Sequence[str]:
    """Return the names of all services that routes refer to, sorted."""
    names = {
        share.service
        for route in config.routes
        for share in route.weighted_services
    }
    return sorted(names)


def check_references(config: RoutingConfig) -> None:
    """Check that a configuration defines every service of its routes.

    Raises:
        MalformedMessage: A route refers to an undefined service.
    """
    undefined = [
        name
        for name in referenced_services(config)
        if name not in config.services
    ]
    if undefined:
        raise MalformedMessage(
            f'routes to unknown services: {", ".join(undefined)}',
            step='check configuration',
        )
