"""Broken variants of a node, which the outcomes of traces must detect."""

from collections.abc import Sequence
from typing import Any

from filbertdrift import fold, snapshot
from filbertdrift.claims import ClaimResult, ClaimStream
from filbertdrift.errors import RequestNotRun, RequestUnknown
from filbertdrift.gen import ttypes
from filbertdrift.link import PeerLink
from filbertdrift.log import LogRecord
from filbertdrift.members import Member, MemberStatus
from filbertdrift.node import Node
from filbertdrift.wire import decode, encode


def folds_in_arrival_order(node: Node) -> None:
    """Apply records in order of arrival, whatever their offsets."""
    replica = node.replica
    add = replica.add

    def add_in_arrival_order(records: Sequence[LogRecord], era: int) -> bool:
        newer = [
            record for record in records if record.offset > replica.state.offset
        ]
        return add(
            [
                LogRecord(replica.state.offset + 1 + number, record.payload)
                for number, record in enumerate(newer)
            ],
            era,
        )

    replica.add = add_in_arrival_order  # type: ignore[method-assign]


def adopts_any_checkpoint(node: Node) -> None:
    """Adopt every full configuration, also older ones."""
    replica = node.replica

    def replace(payload: bytes, era: int) -> bool:
        replica._adopt(fold.decode_checkpoint(payload), era)
        return True

    replica.replace = replace  # type: ignore[method-assign]


def sends_only_wholes(node: Node) -> None:
    """Reply to every pull with the full configuration."""
    node.replica.records_after = lambda offset: None  # type: ignore


def applies_first_file_only(node: Node) -> None:
    """Apply only the first file of each record after the initial one."""
    add = node.replica.add

    def add_first_file(records: Sequence[LogRecord], era: int) -> bool:
        parts = []
        for record in records:
            change = decode(ttypes.ConfigRecord, record.payload)
            if record.offset:
                change.files = change.files[:1]
            parts.append(LogRecord(record.offset, encode(change)))
        return add(parts, era)

    node.replica.add = add_first_file  # type: ignore[method-assign]


def drops_empty_services(node: Node) -> None:
    """Remove services without targets from the snapshot."""
    swap = node._swap_snapshot

    def swap_without_empty_services(found: snapshot.Snapshot) -> None:
        endpoints = {
            service: members
            for service, members in found.endpoints.items()
            if members
        }
        swap(
            snapshot.Snapshot(
                found.offset,
                found.digest,
                found.table,
                found.target_sets,
                endpoints,
            ),
        )

    node._swap_snapshot = swap_without_empty_services  # type: ignore[method-assign]


def names_changes_anew(node: Node) -> None:
    """Assign a new record id to every publish call, retries included."""
    publish = node.publisher.publish

    async def publish_with_new_id(record: ttypes.ConfigRecord) -> Any:
        node.counters.swaps += 1
        record.record_id = f'{node.identity.address}-{node.counters.swaps}'
        return await publish(record)

    node.publisher.publish = publish_with_new_id  # type: ignore[method-assign]


def writes_no_checkpoints(node: Node) -> None:
    """Never write a checkpoint."""
    node.reader.is_checkpointer = lambda: False  # type: ignore


def ignores_heartbeat_digests(node: Node) -> None:
    """Detect newer configurations by gossip messages alone."""
    node.membership.on_config_digest = lambda sender, offset, digest: None
    node.distributor.compare = (  # type: ignore[method-assign]
        lambda sender, offset, digest: None
    )


def keeps_silent_links(node: Node) -> None:
    """Never close a connection that fails its keepalive."""
    connect = node.links.connect

    async def connect_without_keepalive(peer: str) -> PeerLink:
        link = await connect(peer)
        link.keep_alive = lambda now: None  # type: ignore[method-assign]
        return link

    node.links.connect = connect_without_keepalive  # type: ignore[method-assign]


def judges_other_domains(node: Node) -> None:
    """Probe members of other domains and declare suspects dead at once."""
    membership = node.membership

    def next_anywhere(domain: str) -> Member | None:
        others = [
            member
            for member in membership.table.alive()
            if member.node != membership.local_member.node
        ]
        return membership._rng.choice(others) if others else None

    def update_all(member: Member) -> None:
        if member.status == MemberStatus.SUSPECT:
            membership.suspicions._deadlines.setdefault(member.node, 0)

    membership.prober.next_in_domain = next_anywhere  # type: ignore
    membership.suspicions.update = update_all  # type: ignore[method-assign]


def forgets_generations(node: Node) -> None:
    """Compare member records by version, whatever their generation."""
    table = node.membership.table
    apply = table.apply

    def apply_by_version(member: Member, now: float) -> bool:
        current = table.get(member.node)
        is_other_generation = (
            current and current.generation != member.generation
        )
        if (
            current
            and is_other_generation
            and current.version >= member.version
        ):
            return False
        return apply(member, now)

    table.apply = apply_by_version  # type: ignore[method-assign]


def reads_log_always(node: Node) -> None:
    """Follow the log on every node, reader or not."""
    node.reader.is_reader = lambda: True  # type: ignore[method-assign]


def keeps_working_while_leaving(node: Node) -> None:
    """Leave without announcing it and without draining."""
    node.registration.leave = lambda: None  # type: ignore[method-assign]

    async def drain() -> None:
        """Do nothing."""

    node.drain = drain  # type: ignore[method-assign]


def grants_every_claim(node: Node) -> None:
    """Grant every claim, also those that another node holds."""
    claim = node.claims.claim

    async def claim_always_granted(key: Any, deadline: float) -> ClaimResult:
        holder = await claim(key, deadline)
        return ClaimResult(holder.entry, is_granted=True)

    node.claims.claim = claim_always_granted  # type: ignore[method-assign]


def claims_in_memory(node: Node) -> None:
    """Keep claims in the batching node's memory instead of the log."""

    def stream_in_memory(name: str) -> ClaimStream:
        stream = streams.setdefault(name, ClaimStream(node.log, name))

        async def write(entries: Sequence[ttypes.ClaimEntry]) -> None:
            stream.fold(ttypes.ClaimBatch('', list(entries)))

        stream._write = write  # type: ignore[method-assign]
        return stream

    streams: dict[str, ClaimStream] = {}
    node.claims._stream = stream_in_memory  # type: ignore[method-assign]


def repeats_everything(node: Node) -> None:
    """Retry a request with unknown outcome, idempotent or not."""
    node.forwarder._may_retry_unknown = (  # type: ignore[method-assign]
        lambda left, route, req: True
    )


def tells_not_run_always(node: Node) -> None:
    """Report to callers without a response that nothing was run."""
    forward = node.keyed_forwarder.forward

    async def forward_as_not_run(*parts: Any) -> Any:
        try:
            return await forward(*parts)
        except RequestUnknown as exc:
            raise RequestNotRun(exc.reason, retry_after_ms=0) from exc

    node.keyed_forwarder.forward = forward_as_not_run  # type: ignore[method-assign]


def forgets_crashes(node: Node) -> None:
    """Record no crashes."""
    node.crashes.record_crash = lambda names: None  # type: ignore[method-assign]


def condemns_bystanders(node: Node) -> None:
    """Keep fingerprints under suspicion after a success."""
    node.crashes._clear = lambda names: None  # type: ignore[method-assign]
