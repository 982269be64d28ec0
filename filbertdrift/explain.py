"""What a node says about itself, its fleet and what it decided."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING

from pydantic import BaseModel

from filbertdrift.fold import Verdict
from filbertdrift.members import Member, MemberStatus

if TYPE_CHECKING:
    from filbertdrift.node import Node

KEPT_REQUESTS = 2048


class StatusReport(BaseModel):
    """The state of one node."""

    node: str
    domain: str
    generation: int
    offset: int
    digest: str
    boot_sources: list[str]
    blocked_by: str
    is_reader: bool
    log_is_reachable: bool
    checkpoint_offset: int
    members: int
    unreachable_domains: list[str]
    service: str
    running: int
    waiting: int
    is_leaving: bool
    outcomes: dict[str, int]
    control_bytes: dict[str, int]
    log_reads: int
    log_appends: int
    dangling_routes: int


class FleetReport(BaseModel):
    """Which configuration is in force where."""

    offset: int
    nodes: int
    in_force: int
    lagging: dict[str, int]
    silent: list[str]


class VerdictReport(BaseModel):
    """What became of one change."""

    offset: int
    record_id: str
    verdict: str
    reason: str
    overtaken_by: int


class TargetReport(BaseModel):
    """Why a target gets work from this node or does not."""

    node: str
    domain: str
    service: str
    status: str
    gets_work: bool
    reason: str
    in_flight: int
    load_permille: int
    latency_ms: float


class CrashReport(BaseModel):
    """A request content that ran while targets crashed."""

    fingerprint: str
    crashes: int
    refused: bool
    forgotten_in_s: float


class RequestReport(BaseModel):
    """What became of one request."""

    request_id: str
    outcome: str
    reason: str
    route: str
    tried: list[str]


class RequestJournal:
    """The last requests that entered at a node, in bounded memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._reports: OrderedDict[str, RequestReport] = OrderedDict()

    def note(self, report: RequestReport) -> None:
        """Keep a report; the oldest one goes."""
        self._reports[report.request_id] = report
        if len(self._reports) > KEPT_REQUESTS:
            self._reports.popitem(last=False)

    def find(self, request_id: str) -> RequestReport | None:
        """Return the report on a request if it is still kept."""
        return self._reports.get(request_id)


def report_status(node: 'Node') -> StatusReport:
    """Return the state of a node."""
    config = node.replica.state
    announced = node.server.announced
    outcomes = node.forwarder.counters
    return StatusReport(
        node=node.identity.address,
        domain=node.identity.domain,
        generation=node.membership.local_member.generation,
        offset=config.offset,
        digest=config.digest.hex(),
        boot_sources=list(node.boot_sources),
        blocked_by=node.replica.blocked_by,
        is_reader=node.reader.is_reader(),
        log_is_reachable=node.reader.is_reachable,
        checkpoint_offset=node.reader.checkpoint_offset,
        members=len(node.membership.table),
        unreachable_domains=sorted(node.membership.unreachable_domains),
        service=announced.service if announced else '',
        running=announced.gate.running if announced else 0,
        waiting=announced.gate.waiting if announced else 0,
        is_leaving=node.is_leaving,
        outcomes={
            'answered': outcomes.answered,
            'not-run': outcomes.not_run,
            'unknown': outcomes.unknown,
            'retries': outcomes.retries,
        },
        control_bytes=node.network.counters.control_bytes(),
        log_reads=node.log.counters.reads,
        log_appends=node.log.counters.appends,
        dangling_routes=node.counters.dangling_routes,
    )


async def report_fleet(node: 'Node', offset: int) -> FleetReport:
    """Ask every node which configuration it has in force.

    Args:
        node: The node that asks.
        offset: The offset that is wanted everywhere.
    """
    membership = node.membership
    asked_at = asyncio.get_running_loop().time()
    await membership.prober.ping_all()
    found = {
        member.node: membership.last_contacts.get(member.node)
        for member in membership.table.alive()
        if member.node != node.identity.address
    }
    silent = [
        name
        for name, heard in found.items()
        if heard is None or heard.at < asked_at
    ]
    offsets = {
        name: heard.offset
        for name, heard in found.items()
        if heard and name not in silent
    }
    offsets[node.identity.address] = node.replica.state.offset
    lagging = {name: known for name, known in offsets.items() if known < offset}
    return FleetReport(
        offset=offset,
        nodes=len(found) + 1,
        in_force=len(offsets) - len(lagging),
        lagging=lagging,
        silent=sorted(silent),
    )


def explain_verdicts(verdicts: Iterable[Verdict]) -> list[VerdictReport]:
    """Return verdicts for people, the newest first."""
    return [
        VerdictReport(
            offset=verdict.offset,
            record_id=verdict.record_id,
            verdict=verdict.kind.name.lower(),
            reason=verdict.reason,
            overtaken_by=verdict.overtaken_by,
        )
        for verdict in reversed(list(verdicts))
    ]


def explain_targets(node: 'Node', service: str) -> list[TargetReport]:
    """Return why each known target gets work from a node or does not.

    Args:
        node: The node.
        service: Only targets of this service, or of all if empty.
    """
    return [
        _explain_target(node, member)
        for member in node.membership.table.all_members()
        if service in {'', member.service}
    ]


def explain_crashes(node: 'Node') -> list[CrashReport]:
    """Return the request contents that ran while targets crashed."""
    return [
        CrashReport(
            fingerprint=found.name,
            crashes=found.crashes,
            refused=found.is_refused,
            forgotten_in_s=round(found.forgotten_in_s, 1),
        )
        for found in node.crashes.marked()
    ]


def explain_request(node: 'Node', request_id: str) -> RequestReport:
    """Return what became of a request that entered at a node."""
    report = node.journal.find(request_id)
    if report is not None:
        return report
    return RequestReport(
        request_id=request_id,
        outcome='not found',
        reason='it did not enter here, or it is too long ago',
        route='',
        tried=[],
    )


def _explain_target(node: 'Node', member: Member) -> TargetReport:
    now = asyncio.get_running_loop().time()
    seen = node.chooser.find_stats(member.node)
    reason = ''
    if member.status != MemberStatus.SERVING:
        reason = f'status is {member.status.name.lower()}'
    elif member.domain in node.membership.unreachable_domains:
        reason = f'domain {member.domain} is unreachable from here'
    elif seen and now < seen.ejected_until:
        reason = f'ejected for {seen.ejected_until - now:.1f} s after failures'
    return TargetReport(
        node=member.node,
        domain=member.domain,
        service=member.service,
        status=member.status.name.lower(),
        gets_work=not reason,
        reason=reason,
        in_flight=seen.in_flight if seen else 0,
        load_permille=seen.load_permille if seen else 0,
        latency_ms=seen.latency_s * 1000 if seen else 0,
    )
