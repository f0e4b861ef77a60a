from testtools import TestCase
import trio

from snipelead.emulator.http import format_answer
from snipelead.emulator.http import HttpConnection
from snipelead.emulator.target import EmulatedTarget
from snipelead.emulator.tests.test_target import make_settings
from snipelead.emulator.tests.test_target import send_head
from snipelead.emulator.tests.test_target import wait_until


class FakeNode:
    """Admin side of a node that forgets the target once."""

    def __init__(self):
        self.seen = []
        self.forgets = True

    async def run(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self.answer,
            listeners,
            task_status=_Started(task_status, f'127.0.0.1:{port}'),
        )

    async def answer(self, stream):
        async with stream:
            connection = HttpConnection(stream)
            while (request := await connection.next_request()) is not None:
                self.seen.append((request.method, request.url))
                status = 200
                if request.url.endswith('/renew') and self.forgets:
                    self.forgets = False
                    status = 404
                await connection.send(format_answer(status, {}))


class _Started:
    def __init__(self, task_status, address):
        self.task_status = task_status
        self.address = address

    def started(self, value=None):
        self.task_status.started(self.address)


class AnnouncerTest(TestCase):
    def test_announces_again_when_forgotten_and_leaves_in_order(self):
        node = FakeNode()

        async def main():
            async with trio.open_nursery() as nursery:
                admin = await nursery.start(node.run)
                target = EmulatedTarget(
                    make_settings(node_admin_address=admin)
                )
                scope = trio.CancelScope()
                stopped = trio.Event()

                async def run_target(*, task_status):
                    with scope:
                        await target.run(task_status=task_status)
                    stopped.set()

                address = await nursery.start(run_target)
                announced = ('POST', '/v1/targets')
                await wait_until(lambda: node.seen.count(announced) == 2)
                stream = await send_head(address, '/?ms=300')
                await wait_until(lambda: target.in_flight == 1)
                scope.cancel()
                with trio.fail_after(30):
                    answer = await stream.receive_some()
                    await stopped.wait()
                nursery.cancel_scope.cancel()
                return answer

        self.assertIn(b'200 OK', trio.run(main))
        self.assertEqual(
            [('POST', '/v1/targets/t1/leaving'), ('DELETE', '/v1/targets/t1')],
            node.seen[-2:],
        )
