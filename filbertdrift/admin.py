"""The admin HTTP interface of a node, for operators and the local target."""

import asyncio
import socket
from typing import Annotated

import uvicorn
from litestar import Litestar, Response, get, post
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.params import FromPath, FromQuery, JSONBody
from pydantic import BaseModel, ConfigDict, Field

from filbertdrift.errors import LogAnswerLost, LogUnavailable
from filbertdrift.explain import (
    CrashReport,
    FleetReport,
    StatusReport,
    TargetReport,
    VerdictReport,
    explain_crashes,
    explain_request,
    explain_targets,
    explain_verdicts,
    report_fleet,
    report_status,
)
from filbertdrift.gen import ttypes
from filbertdrift.metrics import NodeCollector, render_metrics
from filbertdrift.network import split_address
from filbertdrift.node import Node
from filbertdrift.registration import ANNOUNCEMENT_TTL_S, Announcement
from filbertdrift.requesthistory import RequestReport
from filbertdrift.settings import Address

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
MAX_BODY_BYTES = 4_194_304
MAX_NAME_CHARS = 128
MAX_SLOTS = 100_000

_OK = 200
_UNAVAILABLE = 503


class _Body(BaseModel):
    model_config = ConfigDict(extra='forbid')


class AnnounceBody(_Body):
    """The announcement of the local target.

    Attributes:
        service: The service that the target belongs to.
        address: The address at which it listens.
        slots: The number of requests that it runs at a time.
        connections: The number of connections that it accepts.
    """

    service: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    address: Address
    slots: int = Field(ge=1, le=MAX_SLOTS)
    connections: int = Field(default=100, ge=1, le=MAX_SLOTS)


class LeaseBody(_Body):
    """The lease on an announcement.

    Attributes:
        renew_within_s: The time after which it expires unless renewed.
    """

    renew_within_s: float


class FileBody(_Body):
    """One file of a configuration change; without content it is removed."""

    name: str
    content: str | None


class PublishBody(_Body):
    """A configuration change to publish.

    Attributes:
        record_id: The id of the change; retries use the same one.
        base_offset: The offset of the configuration that the change is
            based on.
        files: The files that are replaced or removed.
        author: Who makes the change.
        raise_rules: Version of the validation rules that applies from this
            change on; 0 leaves it unchanged.
    """

    record_id: Annotated[str, Field(min_length=8, max_length=MAX_NAME_CHARS)]
    base_offset: int
    files: list[FileBody]
    author: str = ''
    raise_rules: int = 0


class PublishedBody(_Body):
    """The result of publishing a configuration change.

    Attributes:
        accepted: Whether the change is part of the configuration.
        verdict: The verdict on the change.
        appends: How many appends to the log were attempted.
    """

    accepted: bool
    verdict: VerdictReport
    appends: int


class FilesBody(_Body):
    """The configuration files in force on a node."""

    offset: int
    digest: str
    files: dict[str, str]


@post('/announce', status_code=_OK)
async def announce(data: JSONBody[AnnounceBody], state: State) -> LeaseBody:
    """Register the local target or renew its lease."""
    node: Node = state['node']
    node.announce(
        Announcement(data.service, data.address, data.slots, data.connections),
    )
    return LeaseBody(renew_within_s=ANNOUNCEMENT_TTL_S)


@post('/withdraw', status_code=_OK)
async def withdraw(state: State) -> LeaseBody:
    """Deregister the local target: it gets no new work."""
    node: Node = state['node']
    node.withdraw()
    return LeaseBody(renew_within_s=0)


@post('/publish', status_code=_OK)
async def publish(data: JSONBody[PublishBody], state: State) -> PublishedBody:
    """Publish a configuration change and return the verdict on it.

    Raises:
        HTTPException: The log is unavailable, so that the change was not
            published or it is unknown whether it was.
    """
    node: Node = state['node']
    record = ttypes.ConfigRecord(
        record_id=data.record_id,
        base_offset=data.base_offset,
        files=[
            ttypes.ConfigFile(file.name, file.content) for file in data.files
        ],
        author=data.author,
        raise_rules=data.raise_rules,
    )
    try:
        published = await node.publisher.publish(record)
    except LogAnswerLost as exc:
        raise HTTPException(
            detail=f'unknown: {exc}',
            status_code=_UNAVAILABLE,
        ) from exc
    except LogUnavailable as exc:
        raise HTTPException(
            detail=f'not published: {exc}',
            status_code=_UNAVAILABLE,
        ) from exc
    return PublishedBody(
        accepted=published.is_accepted,
        verdict=explain_verdicts([published.verdict])[0],
        appends=published.appends,
    )


@get('/files')
async def files(state: State) -> FilesBody:
    """Return the configuration files in force on this node."""
    node: Node = state['node']
    config = node.replica.state
    return FilesBody(
        offset=config.offset,
        digest=config.digest.hex(),
        files=config.contents(),
    )


@get('/status')
async def status(state: State) -> StatusReport:
    """Return the state of this node."""
    return report_status(state['node'])


@get('/fleet')
async def fleet(state: State, offset: FromQuery[int] = 0) -> FleetReport:
    """Ping every node and return how far an offset has been rolled out."""
    return await report_fleet(state['node'], offset)


@get('/verdicts')
async def verdicts(state: State) -> list[VerdictReport]:
    """Return the verdicts on the last configuration changes."""
    node: Node = state['node']
    return explain_verdicts(node.replica.state.verdicts)


@get('/targets')
async def targets(
    state: State, service: FromQuery[str] = ''
) -> list[TargetReport]:
    """Return for each target whether this node uses it, or why not."""
    return explain_targets(state['node'], service)


@get('/crashes')
async def crashes(state: State) -> list[CrashReport]:
    """Return the fingerprints of requests that ran while targets crashed."""
    return explain_crashes(state['node'])


@get('/requests/{request_id:str}')
async def request_report(
    state: State, request_id: FromPath[str]
) -> RequestReport:
    """Return the outcome of one request that entered at this node."""
    return explain_request(state['node'], request_id)


@get('/metrics')
async def metrics(state: State) -> Response[bytes]:
    """Return the node's metrics in the Prometheus text format."""
    collector: NodeCollector = state['collector']
    return Response(render_metrics(collector), media_type=METRICS_TYPE)


class AdminServer:
    """Runs the admin interface in the node's event loop.

    Args:
        node: The node.
        collector: The metrics of the node.
        address: The address to listen on.
    """

    def __init__(
        self,
        node: Node,
        collector: NodeCollector,
        address: str,
    ) -> None:
        """Create the application and its server."""
        app = Litestar(
            route_handlers=[
                announce,
                withdraw,
                publish,
                files,
                status,
                fleet,
                verdicts,
                targets,
                crashes,
                request_report,
                metrics,
            ],
            state=State({'node': node, 'collector': collector}),
            openapi_config=None,
            request_max_body_size=MAX_BODY_BYTES,
            logging_config=None,
        )
        host, port = split_address(address)
        self._server = uvicorn.Server(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                log_config=None,
                access_log=False,
                lifespan='off',
                timeout_graceful_shutdown=1,
            ),
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the address and accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        config = self._server.config
        config.load()
        self._server.lifespan = config.lifespan_class(config)
        sock = socket.create_server((config.host, config.port))
        await self._server.startup(sockets=[sock])
        self._task = asyncio.create_task(self._server.main_loop())

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.should_exit = True
        if self._task:
            await self._task
            await self._server.shutdown()
