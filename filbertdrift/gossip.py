"""Batched gossip of changed member records.

A single change is sent at once. While changes come in quick succession, as when
a whole fleet starts, they are collected and sent together, so that the number
of datagrams does not grow with the number of changes. A record that other
members repeat meanwhile has spread already and is not sent on.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from filbertdrift.gen import ttypes
from filbertdrift.members import Member, MemberStatus, to_entry

# Records that arrive within this time of the last datagrams wait for its end.
# On the way through a fleet a record waits a few times, which must take less
# than the grace in which a gate still admits requests of its callers.
BATCH_INTERVAL_S = 0.1
MAX_ENTRIES = 16
# Limits what one batch sends to one peer; the rest waits for the next one.
MAX_BATCH_ENTRIES = 64
# A waiting record that was received this often again is not sent on.
MAX_REPEATS = 2

SamplePeers = Callable[[], Sequence[str]]
SendToAll = Callable[[Sequence[str], ttypes.MemberNotice], None]


@dataclass(slots=True)
class GossipCounters:
    """Records that this node passed on.

    Args:
        batches: Times at which waiting records were sent.
        records: Records sent.
        widespread: Records that were not sent on, as others repeated them.
    """

    batches: int = 0
    records: int = 0
    widespread: int = 0


@dataclass(slots=True)
class _Waiting:
    """A record that waits for the next batch."""

    member: Member
    repeats: int = 0


class MemberGossip:
    """Sends changed member records to a sample of peers.

    Args:
        sample_peers: Returns the addresses that get the next batch.
        send: Sends a message to some addresses.
    """

    def __init__(self, sample_peers: SamplePeers, send: SendToAll) -> None:
        """Start without waiting records."""
        self.counters = GossipCounters()
        self._sample_peers = sample_peers
        self._send = send
        self._waiting: dict[str, _Waiting] = {}
        self._next_batch_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def add(self, members: Iterable[Member]) -> None:
        """Send changed records, at once or with the next batch.

        Args:
            members: The records; each replaces a waiting one of its node.
        """
        for member in members:
            self._waiting[member.node] = _Waiting(member)
        if self._timer is None:
            self._send_or_wait()

    def record_repeat(self, member: Member) -> None:
        """Count that a peer sent a record that is known here already.

        Args:
            member: The known record.
        """
        waiting = self._waiting.get(member.node)
        if waiting is None or waiting.member is not member:
            return
        waiting.repeats += 1
        if waiting.repeats >= MAX_REPEATS and not _is_urgent(member):
            self.counters.widespread += 1
            self._waiting.pop(member.node)

    def close(self) -> None:
        """Drop what is waiting."""
        if self._timer:
            self._timer.cancel()
        self._waiting.clear()

    def _send_or_wait(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self._next_batch_at:
            self._timer = loop.call_at(self._next_batch_at, self._on_timer)
        else:
            self._send_batch()

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiting:
            self._send_batch()

    def _send_batch(self) -> None:
        batch = self._take_batch()
        now = asyncio.get_running_loop().time()
        self._next_batch_at = now + BATCH_INTERVAL_S
        self.counters.batches += 1
        self.counters.records += len(batch)
        receivers = self._choose_receivers(batch)
        entries = [to_entry(member) for member in batch]
        for start in range(0, len(entries), MAX_ENTRIES):
            notice = ttypes.MemberNotice(entries[start : start + MAX_ENTRIES])
            self._send(receivers, notice)
        if self._waiting:
            self._send_or_wait()

    def _take_batch(self) -> Sequence[Member]:
        """Remove and return the records to send now, urgent ones first."""
        members = [waiting.member for waiting in self._waiting.values()]
        members.sort(key=_is_urgent, reverse=True)
        batch = members[:MAX_BATCH_ENTRIES]
        for member in batch:
            self._waiting.pop(member.node)
        return batch

    def _choose_receivers(self, batch: Sequence[Member]) -> Sequence[str]:
        # Suspect members receive their own record, so that they can refute it.
        suspects = [
            member.node
            for member in batch
            if member.status == MemberStatus.SUSPECT
        ]
        return list(dict.fromkeys([*self._sample_peers(), *suspects]))


def _is_urgent(member: Member) -> bool:
    """Return whether callers should stop using a member's target."""
    return member.status >= MemberStatus.LEAVING
