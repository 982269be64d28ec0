"""Claims: at most one execution for an idempotency key."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, Not

from filbertdrift.claims import BATCH_INTERVAL_S, ClaimStream, claim_key
from filbertdrift.gen import ttypes
from filbertdrift.log import MemoryLog
from tests import variants
from tests.builders import run_virtual
from tests.cases import TraceTest

TTL_MS = 600_000


class ClaimTest(TraceTest):
    """Retries through several nodes under every fault."""

    def test_runs_once(self) -> None:
        self.holds('approvals')

    def test_detects_claims_granted_to_all(self) -> None:
        self.notices('approvals', variants.grants_every_claim)

    def test_detects_claims_in_memory(self) -> None:
        self.notices('approvals', variants.claims_in_memory)


class ClaimKeyTest(TestCase):
    """Idempotency keys are scoped to their client accounts."""

    def test_scope(self) -> None:
        keys = {
            claim_key(client_account, 'route', key, b'').digest
            for client_account, key in (
                ('anna', 'k'),
                ('boris', 'k'),
                ('an', 'nak'),
            )
        }
        self.assertThat(len(keys), Equals(3))


class ExpiryTest(TestCase):
    """A batcher keeps expired holders that a late claim could still meet."""

    def test_late_claim_finds_the_holder(self) -> None:
        async def case() -> None:
            stream = ClaimStream(MemoryLog(), 'claims-0')
            stream.fold(ttypes.ClaimBatch('1', [claim_entry('first', 0)]))
            stream.remove_expired(TTL_MS + 1)
            late = claim_entry('late', TTL_MS - 1)
            stream.fold(ttypes.ClaimBatch('2', [late]))
            holder = stream.holder('key')
            self.assertThat(holder.claim_id if holder else '', Equals('first'))
            after = claim_entry('after', TTL_MS)
            stream.fold(ttypes.ClaimBatch('3', [after]))
            holder = stream.holder('key')
            self.assertThat(holder.claim_id if holder else '', Equals('after'))

        run_virtual(case())


class OlderCopyTest(TestCase):
    """The log comes back from an older copy, without some of the claims."""

    # Guards against a second run of a request whose claim the log has lost.
    def test_lost_claim_is_not_granted_again(self) -> None:
        async def case() -> None:
            log = MemoryLog()
            stream = ClaimStream(log, 'claims-0')
            older = log.copy_streams()
            self.assertThat(await submit(stream, 'first'), Equals('first'))
            log.come_back(older)
            self.assertThat(await submit(stream, 'retry'), Equals('first'))
            # The claim is in the log again for other nodes.
            other = ClaimStream(log, 'claims-0')
            self.assertThat(await submit(other, 'third'), Equals('first'))

        run_virtual(case())

    # Guards against a lost response, without which a retry cannot be answered.
    def test_lost_response_is_stored_again(self) -> None:
        async def case() -> None:
            log = MemoryLog()
            stream = ClaimStream(log, 'claims-0')
            older = log.copy_streams()
            await submit(stream, 'first')
            done = claim_entry('first', 1)
            done.kind = ttypes.ClaimKind.DONE
            done.status = 200
            await stream.submit(done)
            log.come_back(older)
            verdict = await stream.submit(claim_entry('retry', 2))
            self.assertThat(verdict.holder, Equals(done))
            other = ClaimStream(log, 'claims-0')
            verdict = await other.submit(claim_entry('third', 3))
            self.assertThat(verdict.holder, Equals(done))

        run_virtual(case())

    # Guards against a claim at an offset that was given out again and skipped.
    def test_claim_at_a_reused_offset_is_seen(self) -> None:
        async def case() -> None:
            log = MemoryLog()
            stale = ClaimStream(log, 'claims-0')
            older = log.copy_streams()
            for number in range(3):
                await submit(stale, f'other-{number}', f'key-{number}')
            log.come_back(older)
            other = ClaimStream(log, 'claims-0')
            for number in range(3):
                claim_id = f'new-{number}'
                holder = await submit(other, claim_id, claim_id)
                self.assertThat(holder, Equals(claim_id))
            holder = await submit(stale, 'retry', 'new-0')
            self.assertThat(holder, Equals('new-0'))

        run_virtual(case())

    # Guards against claims that fail until the stream has grown again.
    def test_claims_are_granted_in_the_new_era(self) -> None:
        async def case() -> None:
            log = MemoryLog()
            stream = ClaimStream(log, 'claims-0')
            older = log.copy_streams()
            for number in range(3):
                await submit(stream, f'old-{number}', f'key-{number}')
            log.come_back(older)
            holder = await submit(stream, 'new', 'another')
            self.assertThat(holder, Equals('new'))

        run_virtual(case())

    # Guards against a claim that is appended before the lost ones are restored.
    def test_era_changes_during_a_claim(self) -> None:
        async def case() -> None:
            log = MemoryLog(delay_s=0.01)
            stream = ClaimStream(log, 'claims-0')
            older = log.copy_streams()
            self.assertThat(await submit(stream, 'held'), Equals('held'))
            for step in range(10):
                await asyncio.sleep(2 * BATCH_INTERVAL_S)
                rival = asyncio.create_task(submit(stream, f'rival-{step}'))
                await asyncio.sleep(0.005 * step)
                log.come_back(older)
                self.assertThat(await rival, Not(Equals(f'rival-{step}')))
                self.assertThat(await submit(stream, 'late'), Equals('held'))
                other = ClaimStream(log, 'claims-0')
                self.assertThat(await submit(other, 'later'), Equals('held'))

        run_virtual(case())

    # Guards against a second run by a node that has not seen the lost claim.
    def test_lost_claim_is_not_granted_by_another_node(self) -> None:
        async def case() -> None:
            log = MemoryLog()
            older = log.copy_streams()
            stream = ClaimStream(log, 'claims-0')
            self.assertThat(await submit(stream, 'first'), Equals('first'))
            log.come_back(older)
            other = ClaimStream(log, 'claims-0')
            holder = await submit(other, 'retry')
            self.assertThat(holder, Not(Equals('retry')))

        run_virtual(case())


async def submit(stream: ClaimStream, claim_id: str, key: str = 'key') -> str:
    """Claim a key; return the id of its holder, or the failure."""
    entry = claim_entry(claim_id, 0)
    entry.key = key
    verdict = await stream.submit(entry)
    return verdict.holder.claim_id if verdict.holder else verdict.failure


def claim_entry(claim_id: str, written_ms: int) -> ttypes.ClaimEntry:
    """Return a claim of one key."""
    return ttypes.ClaimEntry(
        key='key',
        claim_id=claim_id,
        kind=ttypes.ClaimKind.CLAIM,
        fingerprint='',
        written_ms=written_ms,
        expires_ms=written_ms + TTL_MS,
    )
