from testtools import TestCase
import trio

from snipelead.emulator.http import encode_response
from snipelead.emulator.http import HttpConnection
from snipelead.emulator.target import EmulatedTarget
from snipelead.emulator.tests.test_target import make_settings
from snipelead.emulator.tests.test_target import send_head
from snipelead.emulator.tests.test_target import wait_until


class FakeNode:
    """Admin API of a node that forgets the target once."""

    def __init__(self):
        self.requests = []
        self.forgets_target = True

    async def run(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self.handle,
            listeners,
            task_status=_AddressStatus(task_status, f'127.0.0.1:{port}'),
        )

    async def handle(self, stream):
        async with stream:
            connection = HttpConnection(stream)
            while (request := await connection.next_request()) is not None:
                self.requests.append((request.method, request.url))
                status = 200
                if request.url.endswith('/renew') and self.forgets_target:
                    self.forgets_target = False
                    status = 404
                await connection.send(encode_response(status, {}))


class _AddressStatus:
    def __init__(self, task_status, address):
        self.task_status = task_status
        self.address = address

    def started(self, value=None):
        self.task_status.started(self.address)


class AnnouncerTest(TestCase):
    def test_reannounces_when_forgotten_and_drains_before_removal(self):
        node = FakeNode()

        async def main():
            async with trio.open_nursery() as nursery:
                admin_address = await nursery.start(node.run)
                target = EmulatedTarget(
                    make_settings(node_admin_address=admin_address)
                )
                scope = trio.CancelScope()
                stopped = trio.Event()

                async def run_target(*, task_status):
                    with scope:
                        await target.run(task_status=task_status)
                    stopped.set()

                address = await nursery.start(run_target)
                announced = ('POST', '/v1/targets')
                await wait_until(lambda: node.requests.count(announced) == 2)
                stream = await send_head(address, '/?ms=300')
                await wait_until(lambda: target.in_flight == 1)
                scope.cancel()
                with trio.fail_after(30):
                    response = await stream.receive_some()
                    await stopped.wait()
                nursery.cancel_scope.cancel()
                return response

        self.assertIn(b'200 OK', trio.run(main))
        self.assertEqual(
            [('POST', '/v1/targets/t1/leaving'), ('DELETE', '/v1/targets/t1')],
            node.requests[-2:],
        )
