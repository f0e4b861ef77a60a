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
    """Link to a control on which each call raises an error."""

    def __init__(self, error):
        self.error = error
        self.calls = self

    async def call(self, request, timeout_s):
        raise self.error


class FailingLinks:
    """Links to controls that raise one error each, in failover order."""

    def __init__(self, *errors):
        self.links = [FailingLink(error) for error in errors]

    def failover_order(self):
        return self.links

    def record_failure(self, link):
        pass


class FailoverTest(TestCase):
    def call(self, *errors):
        trio.run(call_with_failover, FailingLinks(*errors), CLAIM, 1.0)

    def test_busy_error_is_raised_if_no_attempt_took_effect(self):
        with ExpectedException(VoterBusyError):
            self.call(NoQuorumError('none'), VoterBusyError('busy'))

    def test_busy_error_does_not_hide_an_unknown_outcome(self):
        with ExpectedException(OutcomeUnknownError):
            self.call(RpcTimeoutError('late'), VoterBusyError('busy'))

    def test_missing_quorum_does_not_hide_an_unknown_outcome(self):
        with ExpectedException(OutcomeUnknownError):
            self.call(RpcTimeoutError('late'), NoQuorumError('none'))
