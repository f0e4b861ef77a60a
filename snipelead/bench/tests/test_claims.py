from msgspec.structs import replace
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.bench.claims import MemoryClaims
from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.types import Ran


class MemoryClaimsTest(TestCase):
    def run_claims(self, *requests):
        async def main():
            claims = MemoryClaims()
            replies = []
            for request in requests:
                match request:
                    case ClaimRequest():
                        replies.append(await claims.claim(request))
                    case SettleRequest():
                        await claims.settle(request)
            return replies

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_claim_is_granted_once(self):
        first = ClaimRequest('r', 'k', 'c1', 'f')
        settled = SettleRequest('r', 'k', 'c1', Ran.YES, 200)
        second = ClaimRequest('r', 'k', 'c2', 'f')
        replies = self.run_claims(first, first, settled, second)
        self.assertEqual([True, True, False], [r.granted for r in replies])
        self.assertEqual((Ran.YES, 200), (replies[2].ran, replies[2].status))

    def test_released_claim_is_granted_again(self):
        first = ClaimRequest('r', 'k', 'c1', 'f')
        release = SettleRequest('r', 'k', 'c1', Ran.NO)
        second = ClaimRequest('r', 'k', 'c2', 'f')
        replies = self.run_claims(first, release, second)
        self.assertEqual([True, True], [r.granted for r in replies])

    def test_reused_key_of_another_request_is_a_mismatch(self):
        first = ClaimRequest('r', 'k', 'c1', 'f')
        other = replace(first, claim_id='c2', fingerprint='g')
        self.assertTrue(self.run_claims(first, other)[1].mismatch)
