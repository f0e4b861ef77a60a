"""Grants at real voters, under a change of leader and a partition."""

from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.links import ControlLinks
from snipelead.controls.tests.mesh import make_peers
from snipelead.controls.tests.mesh import run_mesh
from snipelead.messages import QuotaDemand
from snipelead.messages import QuotaRequest
from snipelead.quotas.budget import TAKEOVER_S
from snipelead.quotas.manager import QuotaManager
from snipelead.quotas.service import QuotaService
from snipelead.releases.note import load_note
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import Guarantees
from snipelead.settings.schema import NodeSettings
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.testing.network import MemoryNetwork
from snipelead.voters.voter import Voter

PEERS = make_peers(('a', 'b', 'c'))
ADDRESSES = [peer.address for peer in PEERS]
GUARANTEES = Guarantees(
    quota_window_ms=5_000, quota_overage=0.1, quota_extra=20.0
)
NOTE = (
    'release: 1\nnote: limit\nchanges:\n'
    '  - {action: add, customer: {name: c, rate_per_s: 40.0, burst: 40.0}}\n'
)


class Deployment:
    """Three voters that grant."""

    def __init__(self, guarantees):
        self.network = MemoryNetwork(1)
        self.sequence = 0
        self.voters = []
        self.services = []
        for index, peer in enumerate(PEERS):
            settings = ControlSettings(
                control_id=peer.control_id,
                zone=peer.zone,
                address=peer.address,
                operator_address=peer.address,
                data_dir=peer.control_id,
                peers=PEERS,
                timings=ControlTimings(),
                guarantees=guarantees,
            )
            transport = self.network.transport(peer.address)
            files = MemoryFiles(MemoryDisk(index))
            voter = Voter(settings, transport, files, index)
            self.voters.append(voter)
            self.services.append(QuotaService(settings, voter, transport))

    async def start(self, nursery):
        for voter, service, address in zip(
            self.voters, self.services, ADDRESSES, strict=True
        ):
            nursery.start_soon(voter.run)
            nursery.start_soon(service.run)
            await nursery.start(
                voter.transport.serve,
                address,
                voter.handlers() | service.handlers(),
            )
        while True:
            try:
                await self.voters[0].submit(load_note(NOTE))
                break
            except (NoQuorumError, OutcomeUnknownError):
                await trio.sleep(0.1)

    def leader(self, exclude=None):
        for index, voter in enumerate(self.voters):
            leads = voter.replica.leadership is not None
            if leads and index != exclude:
                return index
        return None

    async def ask(self, index, waiting):
        self.sequence += 1
        request = QuotaRequest(
            'n', 1, self.sequence, demands=(QuotaDemand('c', waiting),)
        )
        reply = await self.services[index].handle(request)
        return reply, sum(grant.amount for grant in reply.grants)


class QuotaServiceTest(TestCase):
    def run_deployment(self, check, guarantees=GUARANTEES):
        async def run():
            deployment = Deployment(guarantees)
            async with trio.open_nursery() as nursery:
                await deployment.start(nursery)
                await check(deployment)
                nursery.cancel_scope.cancel()

        run_mesh(run)

    def test_any_control_grants_from_one_bucket(self):
        # Guards against each control granting the whole limit.
        async def check(deployment):
            await trio.sleep(20)
            total = 0
            for index in range(3):
                reply, amount = await deployment.ask(index, 1_000)
                self.assertFalse(reply.is_reserve)
                total += amount
            # The burst and half of the tolerance of 44.
            self.assertEqual(40 + 22, total)

        self.run_deployment(check)

    def test_partitioned_leader_grants_only_its_reserve(self):
        # Guards against two controls granting at a time.
        async def check(deployment):
            await trio.sleep(20)
            old = deployment.leader()
            others = [a for i, a in enumerate(ADDRESSES) if i != old]
            deployment.network.isolate(ADDRESSES[old], others)
            await trio.sleep(0.3)
            reply, amount = await deployment.ask(old, 1_000)
            self.assertTrue(reply.is_reserve)
            self.assertLess(amount, 5)
            while deployment.leader(exclude=old) is None:
                await trio.sleep(0.05)
            new = deployment.leader(exclude=old)
            await deployment.ask(new, 0)
            reply, amount = await deployment.ask(new, 1_000)
            self.assertFalse(reply.is_reserve)
            rates = deployment.services[new].granter.budget.leader_rates(
                deployment.voters[new].current.customers['c']
            )
            self.assertLessEqual(
                amount, rates.takeover_rate_per_s * TAKEOVER_S
            )

        self.run_deployment(check)

    def test_node_is_served_through_a_cut_and_a_change_of_leader(self):
        # Guards against a manager and controls that do not find each other,
        # and against a node that stays without tokens after a fault.
        async def check(deployment):
            customer = deployment.voters[0].current.customers['c']
            settings = NodeSettings(
                node_id='n',
                zone='a',
                caller_address='10.0.0.1:1',
                address='10.0.0.1:2',
                admin_address='10.0.0.1:3',
                controls=PEERS,
                guarantees=GUARANTEES,
            )
            transport = deployment.network.transport(settings.address)
            links = ControlLinks(PEERS, 'a', 'n', transport)
            manager = QuotaManager(settings, links, lambda: 1)
            await trio.sleep(5)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                for _ in range(20):
                    await manager.admit(customer)
                self.assertEqual(0, manager.refused['c'])
                old = deployment.leader()
                others = [a for i, a in enumerate(ADDRESSES) if i != old]
                deployment.network.isolate(ADDRESSES[old], others)
                while deployment.leader(exclude=old) is None:
                    await trio.sleep(0.05)
                deployment.network.heal()
                await trio.sleep(TAKEOVER_S + 1)
                for _ in range(20):
                    await manager.admit(customer)
                self.assertTrue(manager.is_available)
                nursery.cancel_scope.cancel()

        self.run_deployment(check)

    def test_nothing_is_served_without_the_guarantee(self):
        service = Deployment(Guarantees()).services[0]
        self.assertEqual({}, service.handlers())
