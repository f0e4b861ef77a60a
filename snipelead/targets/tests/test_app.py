import msgspec
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.targets.app import make_target_app
from snipelead.targets.leases import expire_targets
from snipelead.targets.local import LocalTargets
from snipelead.types import TargetState

ANNOUNCEMENT = {
    'target_id': 'stock-1',
    'service': 'stock',
    'address': '127.0.0.1:9001',
    'slots': 20,
    'connections': 130,
    'state': 'serving',
}


class TargetAppTest(TestCase):
    def run_with_client(self, function):
        async def run():
            local_targets = LocalTargets('node-1', 'z1', '127.0.0.1:9000')
            app = make_target_app(local_targets, status=lambda: {'targets': 1})
            return await function(app.test_client(), local_targets)

        return trio.run(run, clock=MockClock(autojump_threshold=0))

    @staticmethod
    async def post(client, path, body=None):
        data = msgspec.json.encode(body) if body is not None else b''
        response = await client.post(path, data=data)
        return response.status_code

    def test_target_life_cycle(self):
        async def scenario(client, local_targets):
            self.assertEqual(
                204, await self.post(client, '/v1/targets', ANNOUNCEMENT)
            )
            entry = local_targets.entries()[0]
            self.assertEqual('127.0.0.1:9000', entry.address)
            self.assertEqual(
                204, await self.post(client, '/v1/targets/stock-1/renew')
            )
            self.assertEqual(
                204, await self.post(client, '/v1/targets/stock-1/leaving')
            )
            self.assertEqual(
                TargetState.LEAVING, local_targets.entries()[0].state
            )
            response = await client.delete('/v1/targets/stock-1')
            self.assertEqual(204, response.status_code)
            self.assertEqual((), local_targets.entries())

        self.run_with_client(scenario)

    def test_renewal_of_an_unknown_target_is_rejected(self):
        async def renew(client, local_targets):
            response = await client.post('/v1/targets/stock-9/renew')
            self.assertEqual(404, response.status_code)
            self.assertIn(b'SL4010', await response.get_data(as_text=False))

        self.run_with_client(renew)

    def test_invalid_announcements_are_rejected(self):
        changes = [
            {'slots': 0},
            {'slots': 'many'},
            {'address': 'here'},
            {'state': 'gone'},
            {'target_id': ''},
            {'speed': 9},
        ]

        async def announce(client, local_targets):
            for change in changes:
                body = {**ANNOUNCEMENT, **change}
                status = await self.post(client, '/v1/targets', body)
                self.assertEqual(400, status, change)
            self.assertEqual((), local_targets.entries())

        self.run_with_client(announce)

    def test_target_without_renewal_expires(self):
        async def expire(client, local_targets):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(expire_targets, local_targets, 3_000)
                await self.post(client, '/v1/targets', ANNOUNCEMENT)
                await trio.sleep(2)
                await self.post(client, '/v1/targets/stock-1/renew')
                await trio.sleep(2)
                self.assertEqual(1, len(local_targets.entries()))
                await trio.sleep(2)
                self.assertEqual(0, len(local_targets.entries()))
                nursery.cancel_scope.cancel()

        self.run_with_client(expire)

    def test_status_and_metrics(self):
        async def read(client, local_targets):
            response = await client.get('/v1/status')
            body = await response.get_data(as_text=False)
            self.assertEqual({'targets': 1}, msgspec.json.decode(body))
            response = await client.get('/metrics')
            self.assertEqual(200, response.status_code)

        self.run_with_client(read)
