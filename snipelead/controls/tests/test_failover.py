from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.failover import call_with_failover
from snipelead.messages import ClaimRequest
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.voters.exceptions import VoterBusyError

CLAIM = ClaimRequest('refill', 'key', 'claim-1')


class FailingLink:
    """Control that answers each call by an error."""

    def __init__(self, error):
        self.error = error
        self.calls = self

    async def call(self, request, timeout_s):
        raise self.error


class FailingLinks:
    def __init__(self, *errors):
        self.links = [FailingLink(error) for error in errors]

    def failover_order(self):
        return self.links

    def defer(self, link):
        pass


class FailoverTest(TestCase):
    def call(self, *errors):
        trio.run(call_with_failover, FailingLinks(*errors), CLAIM, 1.0)

    def test_busy_control_is_told_when_nothing_was_sent_before(self):
        with ExpectedException(VoterBusyError):
            self.call(NoQuorumError('none'), VoterBusyError('busy'))

    def test_busy_control_does_not_hide_an_earlier_attempt(self):
        with ExpectedException(OutcomeUnknownError):
            self.call(RpcTimeoutError('late'), VoterBusyError('busy'))

    def test_refusal_does_not_hide_an_earlier_attempt(self):
        with ExpectedException(OutcomeUnknownError):
            self.call(RpcTimeoutError('late'), NoQuorumError('none'))
