"""Claims: at most one execution for an idempotency key."""

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.claims import ClaimStream, claim_key
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
