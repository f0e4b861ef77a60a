from functools import partial

import httpx
from testtools import TestCase
import trio
from trio.testing import wait_all_tasks_blocked

from snipelead.cli.command import find_coded_error
from snipelead.exceptions import InvariantError
from snipelead.utils.http import json_response
from snipelead.utils.http import make_http_app
from snipelead.utils.http import serve_app


class ServeAppTest(TestCase):
    def setUp(self):
        super().setUp()
        self.entered = trio.Event()
        self.finish = trio.Event()
        self.stop = trio.Event()
        self.app = make_http_app(__name__, 1_000)

        @self.app.get('/slow')
        async def slow():
            self.entered.set()
            await self.finish.wait()
            return json_response('whole')

        @self.app.get('/fast')
        async def fast():
            return json_response('fast')

        @self.app.get('/broken')
        async def broken():
            raise InvariantError('two and two are five')

    async def start_server(self, nursery):
        address = await nursery.start(
            partial(serve_app, self.app, '127.0.0.1:0', stop=self.stop)
        )
        return f'http://{address}'

    def test_request_in_progress_finishes_after_stop(self):
        async def run():
            responses = []

            async def read_slow(url):
                async with httpx.AsyncClient(trust_env=False) as client:
                    responses.append(await client.get(f'{url}/slow'))

            async with trio.open_nursery() as nursery:
                url = await self.start_server(nursery)
                nursery.start_soon(read_slow, url)
                await self.entered.wait()
                self.stop.set()
                await wait_all_tasks_blocked()
                self.finish.set()
            return responses[0]

        response = trio.run(run)
        self.assertEqual('whole', response.json())

    def test_connection_stays_open_for_more_than_1000_requests(self):
        async def run():
            async with trio.open_nursery() as nursery:
                url = await self.start_server(nursery)
                limits = httpx.Limits(max_connections=1)
                async with httpx.AsyncClient(
                    limits=limits, trust_env=False
                ) as client:
                    client_addresses = set()
                    for _ in range(1_005):
                        response = await client.get(f'{url}/fast')
                        stream = response.extensions['network_stream']
                        client_addresses.add(
                            stream.get_extra_info('client_addr')
                        )
                self.stop.set()
            return client_addresses

        self.assertEqual(1, len(trio.run(run)))

    def test_broken_invariant_stops_the_server(self):
        async def run():
            async with trio.open_nursery() as nursery:
                url = await self.start_server(nursery)
                async with httpx.AsyncClient(trust_env=False) as client:
                    await client.get(f'{url}/broken')
                await trio.sleep_forever()

        group = self.assertRaises(ExceptionGroup, trio.run, run)
        self.assertIsInstance(find_coded_error(group), InvariantError)
