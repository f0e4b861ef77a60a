from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.forwarding import forward
from snipelead.messages import ClaimRequest
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.voters.exceptions import VoterBusyError

CLAIM = ClaimRequest('refill', 'key', 'claim-1')


class Link:
    """Control that answers each call by an error."""

    def __init__(self, error):
        self.error = error
        self.calls = self

    async def call(self, request, timeout_s):
        raise self.error


class Links:
    def __init__(self, *errors):
        self.links = [Link(error) for error in errors]

    def ordered(self):
        return self.links

    def defer(self, link):
        pass


class ForwardTest(TestCase):
    def forward(self, *errors):
        trio.run(forward, Links(*errors), CLAIM, 1.0)

    def test_busy_control_is_told_when_nothing_was_sent_before(self):
        with ExpectedException(VoterBusyError):
            self.forward(NoQuorumError('none'), VoterBusyError('busy'))

    def test_busy_control_does_not_hide_an_earlier_attempt(self):
        with ExpectedException(OutcomeUnknownError):
            self.forward(RpcTimeoutError('late'), VoterBusyError('busy'))

    def test_refusal_does_not_hide_an_earlier_attempt(self):
        with ExpectedException(OutcomeUnknownError):
            self.forward(RpcTimeoutError('late'), NoQuorumError('none'))
