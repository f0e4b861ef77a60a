from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.relay import RelaySource
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import ClaimRequest
from snipelead.messages import SubmitRequest
from snipelead.releases.document import Setting
from snipelead.releases.note import Change
from snipelead.releases.note import ReleaseNote
from snipelead.settings.schema import ControlSettings
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource
from snipelead.types import ControlRole
from snipelead.types import OutcomeKind

ZONES = ('a', 'b', 'a')
ROLES = (ControlRole.VOTER, ControlRole.VOTER, ControlRole.RELAY)
NOTE = ReleaseNote(
    2, 'note-2', (Change('add', setting=Setting('unit', 'litre')),)
)
CLAIM = ClaimRequest('refill', 'key', 'claim-1')


async def _start(mesh):
    """Start two voters that share one source, and a relay."""
    source = FakeSource(make_release())
    voters = [await mesh.start_control(i, source) for i in (0, 1)]
    peer = mesh.peers[2]
    settings = ControlSettings(
        control_id=peer.control_id,
        zone=peer.zone,
        address=peer.address,
        operator_address=peer.address,
        data_dir='unused',
        peers=mesh.peers,
        role=peer.role,
    )
    relay = RelaySource(settings, mesh.network.transport(peer.address))
    control = await mesh.start_control(2, relay)
    await wait_until(lambda: relay.current.number == source.current.number)
    return source, voters, control, relay


class RelayTest(TestCase):
    def check_with_relay(self, check):
        async def run():
            async with open_mesh(ZONES, ROLES) as mesh:
                await check(mesh, *await _start(mesh))

        run_mesh(run)

    def test_relay_distributes_releases_to_its_nodes(self):
        async def check(mesh, source, voters, control, relay):
            nodes = [await mesh.start_node(i) for i in range(10)]
            for voter in voters:
                for node in nodes:
                    mesh.network.cut(node.address, voter.address)
            await wait_until(lambda: all(n.holder.ready for n in nodes))
            started_at = trio.current_time()
            source.publish(change_route(source.current))
            await wait_until(lambda: all(n.number == 2 for n in nodes))
            self.assertLess(trio.current_time() - started_at, 0.1)

        self.check_with_relay(check)

    def test_relay_fails_over_to_another_voter(self):
        async def check(mesh, source, voters, control, relay):
            voters[0].scope.cancel()
            await trio.sleep(1)
            source.publish(change_route(source.current))
            await wait_until(lambda: relay.current.number == 2)

        self.check_with_relay(check)

    def test_relay_certifies_through_a_voter(self):
        async def check(mesh, source, voters, control, relay):
            self.assertTrue(await relay.certify())
            source.certification_succeeds = False
            self.assertFalse(await relay.certify())

        self.check_with_relay(check)

    def test_lagging_relay_catches_up_before_it_certifies(self):
        async def check(mesh, source, voters, control, relay):
            source.publish(change_route(source.current))
            self.assertEqual(1, relay.current.number)
            self.assertTrue(await relay.certify())
            self.assertEqual(2, relay.current.number)

        self.check_with_relay(check)

    def test_partitioned_relay_does_not_certify(self):
        async def check(mesh, source, voters, control, relay):
            for voter in voters:
                mesh.network.cut(control.address, voter.address)
            self.assertFalse(await relay.certify())

        self.check_with_relay(check)

    def test_note_through_relay_is_accepted_once(self):
        async def check(mesh, source, voters, control, relay):
            first = await relay.submit(NOTE)
            again = await relay.submit(NOTE)
            self.assertIs(OutcomeKind.ACCEPTED, first.outcome)
            self.assertEqual(first, again)
            self.assertEqual({'note-2': first}, await relay.get_outcomes())

        self.check_with_relay(check)

    def test_lost_reply_leads_to_an_unknown_outcome(self):
        async def check(mesh, source, voters, control, relay):
            for voter in voters:
                mesh.network.dropping_links.add(
                    (voter.address, control.address)
                )
            with ExpectedException(OutcomeUnknownError):
                await relay.submit(NOTE)
            self.assertEqual(2, source.current.number)

        self.check_with_relay(check)

    def test_missing_quorum_is_reported(self):
        async def check(mesh, source, voters, control, relay):
            source.certification_succeeds = False
            with ExpectedException(NoQuorumError):
                await relay.claim(CLAIM)

        self.check_with_relay(check)

    def test_missing_quorum_does_not_hide_a_lost_reply(self):
        async def check(mesh, source, voters, control, relay):
            source.certification_succeeds = False
            address = relay.links.failover_order()[0].peer.address
            mesh.network.cut(control.address, address)
            with ExpectedException(OutcomeUnknownError):
                await relay.claim(CLAIM)

        self.check_with_relay(check)

    def test_claim_without_a_reachable_voter_is_not_sent(self):
        async def check(mesh, source, voters, control, relay):
            for voter in voters:
                voter.scope.cancel()
            await trio.sleep(1)
            with ExpectedException(NoControlError):
                await relay.claim(CLAIM)

        self.check_with_relay(check)

    def test_claim_of_a_node_fails_over_to_another_control(self):
        async def check(mesh, source, voters, control, relay):
            node = await mesh.start_node()
            await wait_until(lambda: node.holder.ready)
            control.scope.cancel()
            voters[0].scope.cancel()
            await trio.sleep(1)
            reply = await node.client.claim(CLAIM)
            self.assertTrue(reply.granted)
            self.assertTrue((await node.client.claim(CLAIM)).granted)

        self.check_with_relay(check)

    def test_relay_handles_forwarded_requests(self):
        async def check(mesh, source, voters, control, relay):
            handlers = relay.handlers()
            reply = await handlers[SubmitRequest](SubmitRequest(NOTE))
            self.assertIs(OutcomeKind.ACCEPTED, reply.outcome)

        self.check_with_relay(check)
