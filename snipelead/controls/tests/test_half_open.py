from testtools import TestCase
import trio

from snipelead.controls.client import SyncClient
from snipelead.controls.service import ControlService
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.settings.schema import Peer
from snipelead.targets.local import LocalTargets
from snipelead.testing.processes import find_free_addresses
from snipelead.testing.relay import Relay
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
TIMINGS = NodeTimings(hold_ms=300, miss_ms=200)


async def _wait_until(condition):
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(POLL_INTERVAL_S)


class HalfOpenTest(TestCase):
    """Half-open TCP connection: one end no longer receives anything.

    The network silently drops all packets without closing the connection,
    so only a timeout can detect the loss. The poll must then be retried on
    a new connection.
    """

    def test_half_open_connection_is_replaced(self):
        async def run():
            async with open_grpc_transport() as transport:
                async with trio.open_nursery() as nursery:
                    await self.check(transport, nursery)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def check(self, transport, nursery):
        address, node_address = find_free_addresses(2)
        relay = Relay(address)
        relayed_address = await nursery.start(relay.run)
        source = FakeSource(make_release())
        service = ControlService(
            ControlSettings(
                control_id='c0',
                zone='a',
                address=address,
                operator_address=address,
                data_dir='unused',
                peers=(),
            ),
            source,
            transport,
        )
        await nursery.start(transport.serve, address, service.handlers())
        await nursery.start(service.run)
        holder = ReleaseHolder()
        settings = NodeSettings(
            node_id='n0',
            zone='a',
            caller_address=node_address,
            address=node_address,
            admin_address=node_address,
            controls=(
                Peer(control_id='c0', zone='a', address=relayed_address),
            ),
            timings=TIMINGS,
        )
        client = SyncClient(
            settings,
            transport,
            holder,
            TargetDirectory(),
            LocalTargets('n0', 'a', node_address),
        )
        await nursery.start(client.run)
        await _wait_until(lambda: holder.ready)
        accepted_count = relay.accepted_count
        relay.stall_connections()
        source.publish(change_route(source.current))
        await _wait_until(lambda: holder.current.number == 2)
        self.assertGreater(relay.accepted_count, accepted_count)
