from random import Random

from testtools import TestCase
import trio

from snipelead.exceptions import SnipeleadError
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.rpc.stream import open_stream_transport
from snipelead.testing.relay import Relay
from snipelead.utils.ports import find_free_addresses

SEEDS = range(3)
RUN_S = 2.0
CALLERS = 4
TIMEOUTS_S = (0.001, 0.002, 0.005, 0.02, 0.1)
HANDLER_TIMES_S = (0.0, 0.0, 0.002, 0.01, 1.0)
MAX_PAUSE_S = 0.01
MAX_FAULT_PAUSE_S = 0.1
# Allowance for the scheduling of the process under load.
LATENESS_S = 1.0
REPLY = CertifyReply(EMPTY_RELEASE.release_id, True)


async def _inject_faults(relay, rng):
    while True:
        await trio.sleep(rng.uniform(0.0, MAX_FAULT_PAUSE_S))
        match rng.randrange(3):
            case 0:
                relay.stalls_new_connections ^= True
            case 1:
                relay.stall_connections()
            case 2:
                relay.reset()


class RandomCallsTest(TestCase):
    """Calls with short time limits over a network that resets and stalls.

    Each ends in time with a reply or a coded error, whatever happens to the
    connection that it shares with others.
    """

    async def make_calls(self, channel, rng):
        end = trio.current_time() + RUN_S
        while (started_at := trio.current_time()) < end:
            timeout_s = rng.choice(TIMEOUTS_S)
            try:
                reply = await channel.call(CertifyRequest(), timeout_s)
            except SnipeleadError:
                pass
            else:
                self.assertEqual(REPLY, reply)
            lateness_s = trio.current_time() - started_at - timeout_s
            self.assertLess(lateness_s, LATENESS_S)
            await trio.sleep(rng.uniform(0.0, MAX_PAUSE_S))

    def run_calls(self, open_transport, seed):
        rng = Random(seed)

        async def handle(request):
            await trio.sleep(rng.choice(HANDLER_TIMES_S))
            return REPLY

        async def run():
            (address,) = find_free_addresses(1)
            async with (
                open_transport() as transport,
                trio.open_nursery() as nursery,
            ):
                await nursery.start(
                    transport.serve, address, {CertifyRequest: handle}
                )
                relay = Relay(address)
                await nursery.start(relay.run)
                nursery.start_soon(_inject_faults, relay, rng)
                async with (
                    transport.connect(relay.address) as channel,
                    trio.open_nursery() as callers,
                ):
                    for _ in range(CALLERS):
                        callers.start_soon(self.make_calls, channel, rng)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_grpc_calls_end_in_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_calls(open_grpc_transport, seed)

    def test_stream_calls_end_in_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_calls(open_stream_transport, seed)
