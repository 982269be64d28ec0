"""Reports of a node for operators: its state, its fleet and its decisions."""

import asyncio
from collections.abc import Iterable

from pydantic import BaseModel

from filbertdrift.fold import EMPTY_OFFSET, Verdict
from filbertdrift.keeper import from_position
from filbertdrift.members import Member, MemberStatus
from filbertdrift.node import Node
from filbertdrift.requesthistory import RequestReport


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
    """How far a configuration offset has been rolled out in the fleet.

    Attributes:
        offset: The offset that is wanted on every node.
        nodes: Nodes that are alive, the reporting one included.
        in_force: Nodes at the offset or beyond.
        lagging: The offset of each node that is behind.
        silent: Nodes without contact since the pings were sent.
    """

    offset: int
    nodes: int
    in_force: int
    lagging: dict[str, int]
    silent: list[str]


class VerdictReport(BaseModel):
    """The verdict on one configuration change."""

    offset: int
    record_id: str
    verdict: str
    reason: str
    overtaken_by: int


class TargetReport(BaseModel):
    """Whether a target is eligible for requests of this node, or why not."""

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
    """The crash history of one request fingerprint."""

    fingerprint: str
    crashes: int
    refused: bool
    forgotten_in_s: float


def report_status(node: Node) -> StatusReport:
    """Report the state of a node."""
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


async def report_fleet(node: Node, offset: int) -> FleetReport:
    """Ping every node and report which configuration it has in force.

    Args:
        node: The node that sends the pings.
        offset: The offset that is wanted on every node.
    """
    membership = node.membership
    pinged_at = asyncio.get_running_loop().time()
    await membership.prober.ping_all()
    last_contacts = {
        member.node: membership.last_contacts.get(member.node)
        for member in membership.table.alive()
        if member.node != node.identity.address
    }
    silent = [
        name
        for name, contact in last_contacts.items()
        if contact is None or contact.at < pinged_at
    ]
    offsets = {
        name: _offset_in_era(contact.offset, node.replica.era)
        for name, contact in last_contacts.items()
        if contact and name not in silent
    }
    offsets[node.identity.address] = node.replica.state.offset
    lagging = {name: found for name, found in offsets.items() if found < offset}
    return FleetReport(
        offset=offset,
        nodes=len(last_contacts) + 1,
        in_force=len(offsets) - len(lagging),
        lagging=lagging,
        silent=sorted(silent),
    )


def _offset_in_era(position: int, era: int) -> int:
    """Return the offset of a position, EMPTY_OFFSET if of an earlier era."""
    found_era, offset = from_position(position)
    return offset if found_era >= era else EMPTY_OFFSET


def explain_verdicts(verdicts: Iterable[Verdict]) -> list[VerdictReport]:
    """Report verdicts on configuration changes, the newest first."""
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


def explain_targets(node: Node, service: str) -> list[TargetReport]:
    """Report for each target whether a node sends it requests, or why not.

    Args:
        node: The node.
        service: Restricts the report to targets of this service unless empty.
    """
    return [
        _explain_target(node, member)
        for member in node.membership.table.all_members()
        if service in {'', member.service}
    ]


def explain_crashes(node: Node) -> list[CrashReport]:
    """Report the fingerprints of requests that ran while targets crashed."""
    return [
        CrashReport(
            fingerprint=crash.name,
            crashes=crash.crashes,
            refused=crash.is_refused,
            forgotten_in_s=round(crash.forgotten_in_s, 1),
        )
        for crash in node.crashes.marked()
    ]


def explain_request(node: Node, request_id: str) -> RequestReport:
    """Report the outcome of a request that entered at a node.

    Args:
        node: The node.
        request_id: The id of the request.

    Returns:
        The report; its outcome is 'not found' if the node has none.
    """
    report = node.request_history.find(request_id)
    if report is not None:
        return report
    return RequestReport(
        request_id=request_id,
        outcome='not found',
        reason='it did not enter here, or it is too long ago',
        route='',
        tried=[],
    )


def _explain_target(node: Node, member: Member) -> TargetReport:
    now = asyncio.get_running_loop().time()
    stats = node.chooser.find_stats(member.node)
    reason = ''
    if member.status != MemberStatus.SERVING:
        reason = f'status is {member.status.name.lower()}'
    elif member.domain in node.membership.unreachable_domains:
        reason = f'domain {member.domain} is unreachable from here'
    elif stats and now < stats.ejected_until:
        reason = f'ejected for {stats.ejected_until - now:.1f} s after failures'
    return TargetReport(
        node=member.node,
        domain=member.domain,
        service=member.service,
        status=member.status.name.lower(),
        gets_work=not reason,
        reason=reason,
        in_flight=stats.in_flight if stats else 0,
        load_permille=stats.load_permille if stats else 0,
        latency_ms=stats.latency_s * 1000 if stats else 0,
    )
