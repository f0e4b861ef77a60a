from unittest import mock

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.messages import ClaimRequest
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.exceptions import VoterBusyError
from snipelead.voters.messages import Claim
from snipelead.voters.proposals import Proposals

CLAIM = Claim(ClaimRequest('refill', 'key', 'claim-1'))


class ScriptedProposals(Proposals):
    """Proposals whose attempts raise the given errors in turn."""

    def __init__(self, *errors):
        super().__init__(mock.Mock(), mock.Mock(), mock.Mock())
        self.errors = list(errors)

    async def propose_once(self, command, encoded):
        raise self.errors.pop(0)

    async def wait_leader_change(self):
        await trio.lowlevel.checkpoint()

    def should_stop_waiting(self):
        return not self.errors


class ProposeTest(TestCase):
    def propose(self, *errors):
        trio.run(ScriptedProposals(*errors).propose, CLAIM)

    def test_busy_leader_is_reported_if_nothing_was_sent_before(self):
        with ExpectedException(VoterBusyError):
            self.propose(NotLeaderError('no'), VoterBusyError('busy'))

    def test_busy_leader_after_a_lost_reply_means_unknown_outcome(self):
        with ExpectedException(OutcomeUnknownError):
            self.propose(RpcTimeoutError('late'), VoterBusyError('busy'))
