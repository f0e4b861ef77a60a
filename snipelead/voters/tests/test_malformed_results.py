from types import SimpleNamespace

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.messages import SettleRequest
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.types import Ran
from snipelead.voters.forwarding import Forwarding
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import ProposeReply
from snipelead.voters.messages import ProposeRequest
from snipelead.voters.messages import ProposeResult
from snipelead.voters.messages import Settle
from snipelead.voters.proposals import Proposals

TEST_TIMEOUT_S = 5.0


class MalformedResultsTest(TestCase):
    """Results of a leader that are malformed fail the calls that wait.

    The error ended the task that forwards commands, and the control with it.
    """

    def run_with_results(self, results, test):
        async def call(control_id, request, timeout_s):
            return ProposeReply(tuple(map(ProposeResult, results)))

        replica = SimpleNamespace(
            leader=SimpleNamespace(control_id='c1'),
            member='c2',
            election_max_s=1.0,
            leadership=None,
            journal=SimpleNamespace(),
            check_running=lambda: None,
        )
        forwarding = Forwarding(replica, SimpleNamespace(call=call))

        async def main():
            with trio.fail_after(TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(forwarding.run)
                    await test(replica, forwarding)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_wrong_number_of_results(self):
        async def test(replica, forwarding):
            for _ in range(2):
                with ExpectedException(RpcInternalError):
                    await forwarding.forward(b'command')

        self.run_with_results((), test)
        self.run_with_results((b'one', b'two'), test)

    def test_result_that_cannot_be_decoded(self):
        async def test(replica, forwarding):
            proposals = Proposals(replica, forwarding, None)
            command = Settle(None)
            with ExpectedException(RpcInternalError):
                await proposals.propose_once(command, b'command')

        self.run_with_results((b'\x91' * 100_000,), test)


class ForwardedCommandTest(TestCase):
    """A command that cannot be decoded does not get into the log.

    Each voter that applied it ended, at each start again.
    """

    def test_malformed_command_is_refused(self):
        replica = SimpleNamespace(journal=SimpleNamespace())
        proposals = Proposals(replica, None, None)
        valid = encode_command(Settle(SettleRequest('s', 'k', 'c', Ran.NO)))
        for command in (b'', b'\x00', b'\xff', valid[:-1], b'\x91' * 100_000):
            request = ProposeRequest((valid, command))
            with ExpectedException(RpcInternalError):
                trio.run(proposals.on_propose, request)
            self.assertEqual([], proposals.queue)
