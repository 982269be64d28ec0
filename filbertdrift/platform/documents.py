"""Decodes the operator's configuration and the heartbeats of targets."""

from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from filbertdrift.accounts.directory import AccountDirectory
from filbertdrift.address import is_ip_address
from filbertdrift.errors import MalformedMessage
from filbertdrift.incarnation import Heartbeat
from filbertdrift.keyedlog import KeyedRecord
from filbertdrift.platform.tenants import TenantsDecoder
from filbertdrift.rollouts.steplog import RolloutFormats
from filbertdrift.rollouts.steps import Order, Phase, Step, hash_record
from filbertdrift.routing import (
    CallerLimits,
    PrefixRoute,
    RoutingConfig,
    ServiceConfig,
    WeightedService,
)

OPERATOR_STREAM = 'keyed.op'
CONFIG_KEY = 'config'
# Orders of roll-outs in the operator's stream, and their status.
ROLLOUT_PREFIX = 'rollout/'
STATUS_STREAM = 'keyed.status'
STEPS_STREAM = 'keyed.rollouts'
STATE_RUNNING = 'running'
STATE_COMPLETED = 'completed'
STATE_ROLLED_BACK = 'rolled_back'

VERSION_PREFIX = 'r'
STATE_DRAINING = 'draining'
# Kinds of routes whose requests may run more than once. Downloads have large
# responses.
IDEMPOTENT_KINDS = frozenset(('idempotent', 'download'))
# Connections that one target accepts if the operator states no limit.
DEFAULT_CONNECTIONS = 100
# The latency objective of a route without target_latency_s is its timeout_s, or
# this if it has none.
DEFAULT_OBJECTIVE_S = 1.0
LOWEST_PRIORITY = 9
# Ids and names of targets go into messages between nodes.
MAX_NAME_CHARS = 255
# Longer durations, and lower ranks, do not fit the messages between nodes.
MAX_DURATION_S = 86_400.0
MAX_PRIORITY = 0x7FFFFFFF
# A request that runs has a connection of its own, and a port.
MAX_SLOTS = 65_535
# The largest whole number that all writers of JSON can state.
MAX_WHOLE = 9_007_199_254_740_991

# What decoding bytes of any kind raises.
_DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)

_STATES = {
    Phase.COMPLETED: STATE_COMPLETED,
    Phase.ROLLED_BACK: STATE_ROLLED_BACK,
}

_Positive = Annotated[float, Meta(gt=0)]
_Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
_Count = Annotated[int, Meta(ge=1)]
_Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
_Text = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
_Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
# Without blanks and control characters, as it becomes part of a header.
_Instance = Annotated[str, Meta(pattern=rf'^[!-~]{{1,{MAX_NAME_CHARS}}}\Z')]


class _Share(Struct, frozen=True):
    service: str
    weight: _Positive


class _Route(Struct, frozen=True):
    host: str
    path_prefix: Annotated[str, Meta(pattern=r'^/(.*/)?\Z')]
    # Requests of kinds that are not in IDEMPOTENT_KINDS may run only once.
    kind: str = ''
    timeout_s: _Positive | None = None
    # The latency objective, counted from the caller's first attempt.
    target_latency_s: _Positive | None = None
    priority: int = LOWEST_PRIORITY
    service: str = ''
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: _Count = 1
    # Its requests pass whatever key they have.
    auth_exempt: bool = False


class _Service(Struct, frozen=True):
    health_check_path: str = ''
    max_connections: int = DEFAULT_CONNECTIONS


class _Limits(Struct, frozen=True):
    max_header_bytes: int = CallerLimits().header_bytes
    max_body_bytes: int = CallerLimits().body_bytes
    header_timeout_s: float = CallerLimits().header_timeout_s
    idle_timeout_s: float = CallerLimits().idle_timeout_s


class _Config(Struct, frozen=True):
    # The number fits the messages between nodes.
    version: Annotated[str, Meta(pattern=r'^r[0-9]{1,18}\Z')]
    # A route is decoded when it has changed.
    routes: dict[str, msgspec.Raw]
    services: dict[str, _Service]
    limits: _Limits = _Limits()
    # Decoded when they have changed.
    tenants: msgspec.Raw = msgspec.Raw(b'')


class _Heartbeat(Struct, frozen=True):
    service: _Name
    address: str
    state: Literal['ready', 'draining']
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    cold_remaining_s: _Duration
    # The sequence number of the heartbeat, counted from the target's start.
    seq: _Whole
    version: _Text
    zone: str
    # Unix time of the target's start in ms; not all targets send it.
    born: _Whole = 0

    def __post_init__(self) -> None:
        """Check the address.

        Raises:
            ValueError: It is no IP address with a port.
        """
        if not is_ip_address(self.address):
            raise ValueError('address: no IP address with a port')


class _RolloutOrder(Struct, frozen=True):
    service: Annotated[str, Meta(min_length=1)]
    target_version: Annotated[str, Meta(min_length=1)]
    # Time from the order to its deadline.
    duration_s: _Positive


class _Leaving(Struct, frozen=True):
    born: _Whole | None = None


_CONFIG_DECODER = msgspec.json.Decoder(_Config, strict=False)
_ROUTE_DECODER = msgspec.json.Decoder(_Route, strict=False)
_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_ORDER_DECODER = msgspec.json.Decoder(_RolloutOrder)
_LEAVING_DECODER = msgspec.json.Decoder(_Leaving)


class ConfigDecoder:
    """Decodes successive versions of the operator's configuration.

    A version differs from the one before in few of its routes, so routes that
    have not changed are taken over.

    Attributes:
        decoded_routes: How many routes have been decoded.
    """

    def __init__(self) -> None:
        """Start without a version before."""
        self.decoded_routes = 0
        # The routes of the last version, as stated and as decoded.
        self._known: dict[str, tuple[bytes, PrefixRoute]] = {}
        self._tenants = TenantsDecoder()

    def parse(self, document: bytes) -> RoutingConfig:
        """Decode the operator's configuration document.

        Args:
            document: The document.

        Raises:
            MalformedMessage: The document is incomplete, a field has the
                wrong type, or an account is invalid.
        """
        try:
            model = _CONFIG_DECODER.decode(document)
            known = {
                name: self._decode_route(name, bytes(stated))
                for name, stated in model.routes.items()
            }
            accounts = self._tenants.parse(bytes(model.tenants))
        except _DECODE_ERRORS as exc:
            step = 'parse configuration'
            raise MalformedMessage(str(exc), step=step) from exc
        self._known = known
        routes = [route for _, route in known.values()]
        return _build_config(model, routes, accounts)

    def _decode_route(
        self, name: str, stated: bytes
    ) -> tuple[bytes, PrefixRoute]:
        known = self._known.get(name)
        if known is not None and known[0] == stated:
            return known
        self.decoded_routes += 1
        return stated, _build_route(name, _ROUTE_DECODER.decode(stated))


def parse_config(document: bytes) -> RoutingConfig:
    """Decode one configuration document, as ConfigDecoder does.

    Raises:
        MalformedMessage: The document is incomplete or a field has the wrong
            type.
    """
    return ConfigDecoder().parse(document)


def parse_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat of a target.

    Args:
        instance: The target's instance id, from the path of the call.
        body: The body of the call.

    Raises:
        MalformedMessage: The id cannot be used, or a field is missing, has the
            wrong type or is out of range.
    """
    try:
        msgspec.convert(instance, _Instance)
        model = _HEARTBEAT_DECODER.decode(body)
    except _DECODE_ERRORS as exc:
        raise MalformedMessage(str(exc), step='parse heartbeat') from exc
    return Heartbeat(
        instance=instance,
        born_ms=model.born,
        sequence=model.seq,
        service=model.service,
        address=model.address,
        slots=model.slots,
        is_draining=model.state == STATE_DRAINING,
        cold_s=model.cold_remaining_s,
        version=model.version,
    )


def parse_order(record: KeyedRecord, era: int) -> Order | None:
    """Decode a record of the operator's stream as an order to roll out.

    Args:
        record: The record.
        era: The era of the log.

    Returns:
        None if the record is no order.

    Raises:
        MalformedMessage: A field is missing or has the wrong type.
    """
    if not record.payload or not record.key.startswith(ROLLOUT_PREFIX):
        return None
    try:
        model = _ORDER_DECODER.decode(record.payload)
    except _DECODE_ERRORS as exc:
        raise MalformedMessage(str(exc), step='parse order') from exc
    if record.key != ROLLOUT_PREFIX + model.service:
        reason = f'the key is not that of {model.service}'
        raise MalformedMessage(reason, step='parse order')
    return Order(
        service=model.service,
        target_version=model.target_version,
        duration_s=_limit(model.duration_s),
        digest=hash_record(record.payload),
        era=era,
        offset=record.offset,
    )


def encode_status(step: Step) -> KeyedRecord:
    """Return the record of the status that a step leads to."""
    state = _STATES.get(step.phase, STATE_RUNNING)
    status = {'state': state, 'target_version': step.order.target_version}
    return KeyedRecord(
        ROLLOUT_PREFIX + step.order.service, msgspec.json.encode(status)
    )


def parse_leave(instance: str, body: bytes) -> int | None:
    """Decode a leave message of a target.

    Args:
        instance: The target's instance id, from the path of the call.
        body: The body of the call.

    Returns:
        Unix time of the start of the leaving target in milliseconds, None if
        the message does not state it.

    Raises:
        MalformedMessage: The id cannot be used, or the body is not a leave
            message.
    """
    try:
        msgspec.convert(instance, _Instance)
        if not body:
            return None
        return _LEAVING_DECODER.decode(body).born
    except _DECODE_ERRORS as exc:
        raise MalformedMessage(str(exc), step='parse leaving') from exc


def _build_config(
    model: _Config,
    routes: Iterable[PrefixRoute],
    accounts: AccountDirectory | None,
) -> RoutingConfig:
    limits = model.limits
    return RoutingConfig(
        version=int(model.version.removeprefix(VERSION_PREFIX)),
        routes=tuple(routes),
        services={
            name: ServiceConfig(
                name,
                service.health_check_path,
                service.max_connections,
            )
            for name, service in model.services.items()
        },
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            _limit(limits.header_timeout_s),
            _limit(limits.idle_timeout_s),
        ),
        accounts=accounts,
    )


def _limit(duration_s: float) -> float:
    return min(duration_s, MAX_DURATION_S)


def _build_route(name: str, model: _Route) -> PrefixRoute:
    weighted_services = tuple(
        WeightedService(share.service, share.weight)
        for share in model.traffic_split
    )
    return PrefixRoute(
        name=name,
        host=model.host.lower(),
        prefix=model.path_prefix,
        weighted_services=weighted_services
        or (WeightedService(model.service, 1),),
        is_idempotent=model.kind in IDEMPOTENT_KINDS,
        timeout_s=model.timeout_s and _limit(model.timeout_s),
        objective_s=_limit(
            model.target_latency_s or model.timeout_s or DEFAULT_OBJECTIVE_S
        ),
        rank=min(max(model.priority, -MAX_PRIORITY), MAX_PRIORITY),
        max_attempts=model.max_attempts,
        is_auth_exempt=model.auth_exempt,
    )


ROLLOUT_FORMATS = RolloutFormats(
    steps_stream=STEPS_STREAM,
    status_stream=STATUS_STREAM,
    parse_order=parse_order,
    encode_status=encode_status,
)
