"""The operations behind the command line, as plain functions."""

import asyncio
import time
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import httpx
from pydantic import TypeAdapter

from filbertdrift import configfile
from filbertdrift.daemon import run_node
from filbertdrift.errors import (
    ChangeRefused,
    ConfigInvalid,
    FilbertdriftError,
    PeerUnavailable,
    SettingsError,
)
from filbertdrift.explain import (
    CrashReport,
    FleetReport,
    StatusReport,
    TargetReport,
    VerdictReport,
)
from filbertdrift.requesthistory import RequestReport
from filbertdrift.settings import load_settings
from filbertdrift.tracelog import (
    LogEvent,
    node_timeline,
    read_events,
    request_timeline,
)
from filbertdrift.wholeresponse import NO_ENCODING, PARSE_ERRORS, fetch

HTTP_TIMEOUT_S = 30.0
# Limits of a whole response of a node: its time and its size.
TRANSFER_TIMEOUT_S = 60.0
MAX_RESPONSE_BYTES = 67_108_864
WATCH_INTERVAL_S = 0.5
WAIT_INTERVAL_S = 0.2
DEFAULT_ADMIN = '127.0.0.1:7003'
FILE_SUFFIX = '.ini'

_UNAVAILABLE = 503
_Parsed = TypeVar('_Parsed')


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Counts of the files, routes, target sets and policies of a folder."""

    files: int
    routes: int
    targets: int
    policies: int


@dataclass(frozen=True, slots=True)
class PublishReport:
    """The verdict on a published change and how far it has spread."""

    accepted: bool
    offset: int
    verdict: str
    reason: str
    record_id: str
    in_force: int
    nodes: int
    seconds: float


def node(config: str, overrides: Mapping[str, str] | None = None) -> None:
    """Run one node until SIGTERM or SIGINT.

    Args:
        config: The INI file with its settings.
        overrides: Values by 'section.key'; they take precedence.

    Raises:
        SettingsError: The settings are invalid, or an address cannot be
            bound.
    """
    run_node(load_settings(config, overrides))


def read_folder(folder: str) -> dict[str, str]:
    """Return the configuration files of a folder by name.

    Args:
        folder: The folder.

    Raises:
        ConfigInvalid: The folder or a file cannot be read.
    """
    path = Path(folder)
    if not path.is_dir():
        raise ConfigInvalid('not a folder', step='read', peer=folder)
    try:
        return {
            found.name: found.read_text('utf-8')
            for found in sorted(path.iterdir())
            if found.suffix == FILE_SUFFIX and found.is_file()
        }
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigInvalid(str(exc), step='read', peer=folder) from exc


def check(folder: str) -> CheckReport:
    """Merge and validate a folder without publishing it.

    Args:
        folder: The folder.

    Raises:
        ConfigInvalid: The reason lists every error.
    """
    files = read_folder(folder)
    merged = configfile.check(files)
    return CheckReport(
        files=len(files),
        routes=len(merged.routes),
        targets=len(merged.targets),
        policies=len(merged.policies),
    )


def publish(
    paths: Sequence[str],
    admin: str = DEFAULT_ADMIN,
    *,
    base: int | None = None,
    remove: Sequence[str] = (),
    wait: bool = False,
    record_id: str = '',
    raise_rules: int = 0,
) -> PublishReport:
    """Publish files as one change.

    Args:
        paths: Files to publish.
        admin: A node's admin address.
        base: The offset at which the change was prepared; the node's
            current one if None.
        remove: Names of files to remove.
        wait: Wait until the change is in force on every node that replies.
        record_id: Idempotency id of the change: publishing it again adds no
            second change. Generated if empty.
        raise_rules: Version of the validation rules that applies from this
            change on; 0 leaves it unchanged.

    Raises:
        ChangeRefused: The change was refused.
        PeerUnavailable: The node or the log is unavailable.
        ConfigInvalid: A file cannot be read.
    """
    changes: dict[str, str | None] = {}
    for path in paths:
        try:
            changes[Path(path).name] = Path(path).read_text('utf-8')
        except (OSError, UnicodeDecodeError) as exc:
            raise ConfigInvalid(str(exc), step='read', peer=path) from exc
    changes.update(dict.fromkeys(remove))
    return publish_changes(
        changes,
        admin,
        base=base,
        wait=wait,
        record_id=record_id,
        raise_rules=raise_rules,
    )


def publish_changes(
    changes: Mapping[str, str | None],
    admin: str = DEFAULT_ADMIN,
    *,
    base: int | None = None,
    wait: bool = False,
    record_id: str = '',
    raise_rules: int = 0,
) -> PublishReport:
    """Publish file contents by name as one change; None removes a file.

    Raises:
        ChangeRefused: The change was refused.
        PeerUnavailable: The node or the log is unavailable.
    """
    started_at = time.monotonic()
    if base is None:
        base = status(admin).offset
    body = {
        'record_id': record_id or uuid.uuid4().hex,
        'base_offset': base,
        'files': [
            {'name': name, 'content': content}
            for name, content in changes.items()
        ],
        'raise_rules': raise_rules,
    }
    is_accepted, verdict = _call_admin(
        admin, 'POST', '/publish', _parse_publication, json=body
    )
    if not is_accepted:
        raise ChangeRefused(
            f'{verdict.verdict} at offset {verdict.offset}: {verdict.reason}',
            step='publish',
            peer=admin,
        )
    fleet_report = FleetReport(
        offset=verdict.offset,
        nodes=0,
        in_force=0,
        lagging={},
        silent=[],
    )
    if wait:
        fleet_report = wait_in_force(verdict.offset, admin)
    return PublishReport(
        accepted=True,
        offset=verdict.offset,
        verdict=verdict.verdict,
        reason=verdict.reason,
        record_id=str(body['record_id']),
        in_force=fleet_report.in_force,
        nodes=fleet_report.nodes,
        seconds=time.monotonic() - started_at,
    )


def wait_in_force(
    offset: int,
    admin: str = DEFAULT_ADMIN,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> FleetReport:
    """Wait until an offset is in force on every node that replies.

    Args:
        offset: The offset.
        admin: A node's admin address.
        timeout_s: The longest time to wait.

    Returns:
        The last report; after a timeout it lists the lagging nodes.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        report = fleet(admin, offset)
        if not report.lagging or time.monotonic() >= deadline:
            return report
        time.sleep(WAIT_INTERVAL_S)


def watch(
    folder: str,
    admin: str = DEFAULT_ADMIN,
) -> Iterator[PublishReport | FilbertdriftError]:
    """Publish every change of a folder, without end.

    Args:
        folder: The folder.
        admin: A node's admin address.

    Yields:
        The report or the error of each change. A refused change is not
        published again until the folder changes.
    """
    published: dict[str, str] = files(admin)
    refused: dict[str, str] | None = None
    while True:
        current = read_folder(folder)
        if current not in (published, refused):
            changes: dict[str, str | None] = {
                name: content
                for name, content in current.items()
                if published.get(name) != content
            }
            changes.update(dict.fromkeys(set(published) - set(current)))
            try:
                yield publish_changes(changes, admin)
            except ChangeRefused as exc:
                refused = current
                yield exc
            except FilbertdriftError as exc:
                yield exc
            published = _files_or_fallback(admin, published)
        time.sleep(WATCH_INTERVAL_S)


def files(admin: str = DEFAULT_ADMIN) -> dict[str, str]:
    """Return the contents of the files in force on a node, by name."""
    return _call_admin(admin, 'GET', '/files', _parse_files)


def status(admin: str = DEFAULT_ADMIN) -> StatusReport:
    """Return the state of a node."""
    return _call_admin(admin, 'GET', '/status', StatusReport.model_validate)


def fleet(admin: str = DEFAULT_ADMIN, offset: int | None = None) -> FleetReport:
    """Return which nodes run a configuration offset, lag or are silent.

    Args:
        admin: Admin address of the node that queries the others.
        offset: The offset to compare with; the queried node's own if None.
    """
    wanted = status(admin).offset if offset is None else offset
    path = f'/fleet?offset={wanted}'
    return _call_admin(admin, 'GET', path, FleetReport.model_validate)


def verdicts(admin: str = DEFAULT_ADMIN) -> list[VerdictReport]:
    """Return the verdicts on the last changes, newest first."""
    parse = TypeAdapter(list[VerdictReport]).validate_python
    return _call_admin(admin, 'GET', '/verdicts', parse)


def targets(
    admin: str = DEFAULT_ADMIN, service: str = ''
) -> list[TargetReport]:
    """Return whether and why a node sends requests to each target."""
    parse = TypeAdapter(list[TargetReport]).validate_python
    return _call_admin(admin, 'GET', f'/targets?service={service}', parse)


def crashes(admin: str = DEFAULT_ADMIN) -> list[CrashReport]:
    """Return fingerprints of requests that ran while targets crashed."""
    parse = TypeAdapter(list[CrashReport]).validate_python
    return _call_admin(admin, 'GET', '/crashes', parse)


def request(request_id: str, admin: str = DEFAULT_ADMIN) -> RequestReport:
    """Return the outcome of a request, from its ingress node."""
    path = f'/requests/{request_id}'
    return _call_admin(admin, 'GET', path, RequestReport.model_validate)


def trace(
    files: Sequence[str],
    request: str = '',
    node: str = '',
) -> list[LogEvent]:
    """Return the timeline of one request or of one node from log files.

    Args:
        files: Log files of any number of processes.
        request: The request's id.
        node: The node's name. Exactly one of request and node is given.

    Raises:
        SettingsError: A file cannot be read, or not exactly one of request
            and node is given.
    """
    if bool(request) == bool(node):
        raise SettingsError('give one of --request and --node', step='trace')
    events = read_events(files)
    if request:
        return request_timeline(events, request)
    return node_timeline(events, node)


def _files_or_fallback(admin: str, fallback: dict[str, str]) -> dict[str, str]:
    try:
        return files(admin)
    except FilbertdriftError:
        return fallback


def _call_admin(
    admin: str,
    method: str,
    path: str,
    parse: Callable[[Any], _Parsed],
    json: object = None,
) -> _Parsed:
    """Call a node and return what parse makes of the document it sends.

    Raises:
        PeerUnavailable: There is no such document.
    """
    url = f'http://{admin}{path}'
    try:
        resp = asyncio.run(_send(method, url, json))
    except httpx.HTTPError as exc:
        raise PeerUnavailable(repr(exc), step=method, peer=url) from exc
    if not resp.is_success:
        reason = f'status {resp.status_code}: {_error_detail(resp)}'
        raise PeerUnavailable(reason, step=method, peer=url)
    try:
        return parse(resp.json())
    except PARSE_ERRORS as exc:
        reason = f'malformed response: {exc!r}'
        raise PeerUnavailable(reason, step=method, peer=url) from exc


async def _send(method: str, url: str, json: object) -> httpx.Response:
    async with httpx.AsyncClient(
        timeout=HTTP_TIMEOUT_S, trust_env=False, headers=NO_ENCODING
    ) as client:
        req = client.build_request(method, url, json=json)
        return await fetch(client, req, TRANSFER_TIMEOUT_S, MAX_RESPONSE_BYTES)


def _parse_files(found: Any) -> dict[str, str]:
    return TypeAdapter(dict[str, str]).validate_python(found['files'])


def _parse_publication(published: Any) -> tuple[bool, VerdictReport]:
    """Return whether a change was accepted, and the verdict on it."""
    verdict = VerdictReport.model_validate(published['verdict'])
    return bool(published['accepted']), verdict


def _error_detail(resp: httpx.Response) -> str:
    try:
        return str(resp.json().get('detail', resp.text))
    except ValueError:
        return resp.text
