import os

from fixtures import TempDir
import httpx
from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.emulator.run_log import read_runs
from snipelead.emulator.run_log import RunOutcome
from snipelead.emulator.target import BEHAVIOUR_PATH
from snipelead.emulator.target import EmulatedTarget
from snipelead.exceptions import InvalidParameterError
from snipelead.settings.schema import ServiceTimeDistribution
from snipelead.settings.schema import TargetSettings
from snipelead.types import Address
from snipelead.types import ServiceName
from snipelead.types import TargetId

LONG_MS = 60_000
TIMEOUT_S = 30


def make_settings(**changes):
    values = {
        'target_id': TargetId('t1'),
        'service': ServiceName('stock'),
        'address': Address('127.0.0.1:0'),
        'node_admin_address': Address('127.0.0.1:1'),
        'slots': 2,
        'connections': 3,
        'service_time_ms': 1.0,
        'service_times': ServiceTimeDistribution.FIXED,
    }
    return TargetSettings(**(values | changes))


async def send_head(address, path, headers=''):
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    head = f'GET {path} HTTP/1.1\r\nHost: t\r\n{headers}\r\n'
    await stream.send_all(head.encode())
    return stream


async def wait_until(condition):
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(0.005)


def run_with_target(check, announce=False, **changes):
    target = EmulatedTarget(make_settings(**changes), announce=announce)

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(target.run)
            async with httpx.AsyncClient(
                base_url=f'http://{address}', trust_env=False
            ) as client:
                await check(target, client)
            nursery.cancel_scope.cancel()

    trio.run(main)
    return target


class EmulatedTargetTest(TestCase):
    def test_echoes_request(self):
        async def check(target, client):
            response = await client.post(
                '/levels?bytes=5',
                content=b'abc',
                headers={'X-Request-Id': 'r1', 'Idempotency-Key': 'k1'},
            )
            self.assertEqual('r1', response.headers['X-Request-Id'])
            body = response.json()
            self.assertEqual('t1', body['target'])
            self.assertEqual(3, body['received_bytes'])
            self.assertEqual('xxxxx', body['filler'])

        target = run_with_target(check)
        [run] = target.run_log.runs
        self.assertEqual(
            ('r1', 'k1', RunOutcome.RAN),
            (run.request_id, run.key, run.outcome),
        )

    def test_sheds_requests_above_its_slots(self):
        async def check(target, client):
            streams = [
                await send_head(target.bound_address, f'/?ms={LONG_MS}')
                for _ in range(2)
            ]
            await wait_until(lambda: target.in_flight == 2)
            response = await client.get('/')
            self.assertEqual(503, response.status_code)
            self.assertEqual(2, len(target.run_log.runs))
            for stream in streams:
                await stream.aclose()

        run_with_target(check)

    def test_refuses_connections_above_its_limit(self):
        async def check(target, client):
            streams = [
                await send_head(target.bound_address, f'/?ms={LONG_MS}')
                for _ in range(2)
            ]
            await wait_until(lambda: target.open_connections == 2)
            response = await client.get('/')
            self.assertEqual(503, response.status_code)
            self.assertEqual('close', response.headers['Connection'])
            for stream in streams:
                await stream.aclose()

        run_with_target(check, connections=2, slots=5)

    def test_run_is_cancelled_when_the_caller_disconnects(self):
        async def check(target, client):
            stream = await send_head(target.bound_address, f'/?ms={LONG_MS}')
            await wait_until(lambda: target.in_flight == 1)
            await stream.aclose()
            await wait_until(lambda: target.in_flight == 0)

        target = run_with_target(check)
        self.assertEqual(
            [RunOutcome.CANCELLED], [r.outcome for r in target.run_log.runs]
        )

    def test_run_stops_at_the_deadline(self):
        async def check(target, client):
            response = await client.get(
                f'/?ms={LONG_MS}', headers={'X-Deadline-Ms': '10'}
            )
            self.assertEqual(504, response.status_code)

        target = run_with_target(check)
        self.assertEqual(
            [RunOutcome.DEADLINE], [r.outcome for r in target.run_log.runs]
        )

    def test_behaviour_changes_at_run_time(self):
        async def check(target, client):
            self.assertEqual(200, (await client.get('/health')).status_code)
            response = await client.post(
                BEHAVIOUR_PATH,
                json={'slowdown': 5, 'health': 'always-down', 'load': 0.9},
            )
            self.assertEqual(200, response.status_code)
            self.assertEqual(503, (await client.get('/health')).status_code)
            load = (await client.get('/load')).json()
            self.assertEqual({'load': 0.9}, load)
            self.assertEqual(0.005, target.behaviour.service_time_s())

        run_with_target(check)

    def test_unknown_behaviour_is_rejected(self):
        async def check(target, client):
            response = await client.post(BEHAVIOUR_PATH, json={'speed': 5})
            self.assertEqual(400, response.status_code)
            self.assertEqual('SL8001', response.json()['code'])

        run_with_target(check)

    def test_invalid_options_are_rejected_and_the_target_keeps_serving(self):
        paths = ('/?ms=long', '/?ms=-1', '/?ms=nan', '/?bytes=some')

        async def check(target, client):
            for path in paths:
                response = await client.get(path)
                self.assertEqual(400, response.status_code, path)
                self.assertEqual('SL8003', response.json()['code'])
            response = await client.get('/', headers={'X-Deadline-Ms': 'soon'})
            self.assertEqual(400, response.status_code)
            stream = await send_head(target.bound_address, '//[')
            with trio.fail_after(TIMEOUT_S):
                self.assertIn(b'200 OK', await stream.receive_some())
            await stream.aclose()

        target = run_with_target(check)
        self.assertEqual(1, len(target.run_log.runs))

    def test_frozen_target_responds_once_unfrozen(self):
        async def check(target, client):
            await client.post(BEHAVIOUR_PATH, json={'frozen': True})
            stream = await send_head(target.bound_address, '/')
            await wait_until(lambda: target.in_flight == 1)
            await client.post(BEHAVIOUR_PATH, json={'frozen': False})
            with trio.fail_after(TIMEOUT_S):
                response = await stream.receive_some()
            self.assertIn(b'200 OK', response)
            await stream.aclose()

        run_with_target(check)

    def test_run_is_logged_at_its_start_and_when_it_is_cancelled(self):
        path = os.path.join(self.useFixture(TempDir()).path, 'runs')
        runs = {}

        async def check(target, client):
            stream = await send_head(target.bound_address, f'/?ms={LONG_MS}')
            await wait_until(lambda: target.run_log.runs)
            runs['during'] = read_runs(path)
            await stream.aclose()
            await wait_until(lambda: target.in_flight == 0)

        run_with_target(check, run_log=path)
        self.assertEqual(1, len(runs['during']))
        self.assertEqual(
            [RunOutcome.CANCELLED], [r.outcome for r in read_runs(path)]
        )

    def test_error_names_the_invalid_parameter(self):
        with ExpectedException(InvalidParameterError, ".*'announce'.*"):
            EmulatedTarget(make_settings(), announce=3).check_parameters()
