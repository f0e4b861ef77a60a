import random

import msgspec
from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import FreshnessReply
from snipelead.messages import FreshnessRequest
from snipelead.messages import SyncReply
from snipelead.messages import SyncRequest
from snipelead.testing.random_messages import RandomMessages

SEED_COUNT = 15
REPLY_COUNT = 40
REPLY_DELAY_S = 0.01


class RandomRepliesTest(TestCase):
    """A control whose replies are out of range does not end its nodes."""

    def check_survives(self, draw_reply, reply_count=REPLY_COUNT):
        replies = []

        async def reply(request):
            await trio.sleep(REPLY_DELAY_S)
            replies.append(draw_reply())
            return msgspec.Raw(replies[-1])

        async def tell_freshness(request):
            return FreshnessReply(False)

        async def run():
            async with open_mesh() as mesh:
                address = mesh.peers[0].address
                transport = mesh.network.transport(address)
                handlers = {
                    SyncRequest: reply,
                    FreshnessRequest: tell_freshness,
                }
                await mesh.nursery.start(transport.serve, address, handlers)
                await mesh.start_node()
                await wait_until(lambda: len(replies) >= reply_count)

        run_mesh(run)

    def test_random_replies(self):
        for seed in range(SEED_COUNT):
            messages = RandomMessages(random.Random(seed), 0.05)

            def draw_reply(messages=messages):
                fields = msgspec.msgpack.decode(messages.draw(SyncReply))
                # The node would poll the controls that are listed instead.
                fields[SyncReply.__struct_fields__.index('controls')] = ()
                return msgspec.msgpack.encode(fields)

            self.check_survives(draw_reply)

    def check_is_failed_poll(self, **fields):
        names = SyncReply.__struct_fields__
        defaults = SyncReply.__struct_defaults__
        reply = [
            fields.get(name, default)
            for name, default in zip(names, defaults, strict=True)
        ]
        self.check_survives(lambda: msgspec.msgpack.encode(reply), 3)

    def test_negative_time_to_retry(self):
        """The error of waiting for it ended the node."""
        self.check_is_failed_poll(retry_after_ms=-5)

    def test_time_to_retry_without_end(self):
        """The node never polled again."""
        self.check_is_failed_poll(retry_after_ms=2**62)

    def test_certified_reply_without_release(self):
        """The error of reading it ended the node."""
        self.check_is_failed_poll(certified=True)
