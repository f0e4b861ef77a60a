import msgspec

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.testing.relay import serve_streams
from snipelead.types import TargetState

# Forwarded while it arrives.
LONG_BODY = b'x' * 300_000
ANSWER_HEAD = b'HTTP/1.1 200 OK\r\n'
REFUSAL_HEAD = (
    b'HTTP/1.1 503 Busy\r\nX-Snipelead-Code: SL3006\r\nX-Snipelead-Ran: no\r\n'
)
LENGTH_AND_BODY = b'Content-Length: 2\r\n\r\n{}'


class EarlyPeer:
    """Node that responds to a long request before it asks for the body.

    Attributes
    ----------
    late_bytes : bytes
        Bytes that came in the place of the body after that.
    """

    def __init__(self, early_head):
        self.early_head = early_head
        self.late_bytes = b''

    async def run(self, *, task_status):
        await serve_streams(self._serve, task_status=task_status)

    async def _serve(self, stream):
        while data := await stream.receive_some():
            if b'100-continue' not in data:
                await stream.send_all(ANSWER_HEAD + LENGTH_AND_BODY)
                continue
            await stream.send_all(self.early_head + LENGTH_AND_BODY)
            while data := await stream.receive_some():
                self.late_bytes += data
            return


class EarlyPeerResponseTest(CallPathTestCase):
    """A connection to a node is not used again where a body is due."""

    def check_next_request(self, early_head, status):
        near, far = FakeNode('n1'), FakeNode('n2')

        async def call(path, method, body=b''):
            caller = await Caller.open(near.path.caller_address)
            response, _ = await caller.call(path, method, body)
            return response.status

        async def test(nursery):
            near.announce(TargetState.LEAVING)
            near.directory.merge(near.entry)
            peer = EarlyPeer(early_head)
            address = await nursery.start(peer.run)
            sequence = far.entry.sequence + 1
            near.directory.merge(
                msgspec.structs.replace(
                    far.entry, address=address, sequence=sequence
                )
            )
            self.assertEqual(
                status, await call('/orders/1', 'POST', LONG_BODY)
            )
            self.assertEqual(200, await call('/reads/1', 'GET'))
            self.assertEqual(b'', peer.late_bytes)

        self.run_nodes(test, near, far)

    def test_next_request_after_an_early_answer(self):
        self.check_next_request(ANSWER_HEAD, 200)

    def test_next_request_after_an_early_refusal(self):
        self.check_next_request(REFUSAL_HEAD, 503)
