"""Claims: at most one run for an idempotency key."""

from testtools import TestCase
from testtools.matchers import Equals

from filbertdrift.claims import claim_key
from tests import variants
from tests.cases import TraceTest


class ClaimTest(TraceTest):
    """Repeats through several nodes under every fault."""

    def test_runs_once(self) -> None:
        self.holds('approvals')

    def test_notices_claims_granted_to_all(self) -> None:
        self.notices('approvals', variants.grants_every_claim)

    def test_notices_claims_in_memory(self) -> None:
        self.notices('approvals', variants.claims_in_memory)


class ClaimKeyTest(TestCase):
    """Keys are scoped to their customers."""

    def test_scope(self) -> None:
        keys = {
            claim_key(customer, 'route', key, b'').digest
            for customer, key in (('anna', 'k'), ('boris', 'k'), ('an', 'nak'))
        }
        self.assertThat(len(keys), Equals(3))
