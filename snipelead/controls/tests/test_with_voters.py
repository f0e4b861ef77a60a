"""Distribution on top of real voters, under failure."""

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.controls.fleet import FleetState
from snipelead.controls.relay import RelaySource
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.settings.schema import ControlSettings
from snipelead.testing.cluster import make_note
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.types import ControlRole
from snipelead.types import OutcomeKind
from snipelead.voters.voter import Voter

VOTERS = 3
ZONES = ('a', 'b', 'c', 'a')
ROLES = (*[ControlRole.VOTER] * VOTERS, ControlRole.RELAY)
NODES = 6


class RealMesh:
    """Three voters, a relay in the first zone, and two nodes in each zone."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.network = mesh.network
        self.disks = [MemoryDisk(index) for index in range(VOTERS)]
        self.controls = [None] * len(ZONES)
        self.nodes = []
        self.notes = 0

    async def start(self):
        for index in range(len(ZONES)):
            await self.start_control(index)
        for index in range(NODES):
            await self.start_node(index)
        await self.submit()

    async def start_node(self, index):
        node = await self.mesh.start_node(
            index, ZONES[index % 3], int(trio.current_time() * 1_000)
        )
        self.nodes[index : index + 1] = [node]

    async def start_control(self, index):
        peer = self.mesh.peers[index]
        settings = ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address=peer.address,
            data_dir=peer.control_id,
            peers=self.mesh.peers,
            role=peer.role,
        )
        transport = self.network.transport(peer.address)
        if peer.role is ControlRole.RELAY:
            source = RelaySource(settings, transport)
        else:
            files = MemoryFiles(self.disks[index])
            source = Voter(settings, transport, files, index)
        self.controls[index] = await self.mesh.start_control(index, source)

    async def submit(self, through=0):
        """Submit the next note until it is accepted."""
        self.notes += 1
        note = make_note(self.notes)
        while True:
            try:
                source = self.controls[through].source
                reply = await source.submit(note)
                break
            except (NoQuorumError, OutcomeUnknownError):
                await trio.sleep(0.1)
        if reply.outcome is not OutcomeKind.ACCEPTED:
            raise AssertionError(reply.message)

    async def wait_all(self, nodes=None):
        nodes = self.nodes if nodes is None else nodes
        await wait_until(
            lambda: all(
                n.holder.ready and n.number == self.notes for n in nodes
            )
        )

    def leader(self):
        """Return the index of the leading voter."""
        for index, control in enumerate(self.controls[:VOTERS]):
            if control.source.replica.leadership is not None:
                return index
        return None

    def part(self, index):
        """Return the addresses of a voter's zone, and of all others."""
        zone = ZONES[index]
        inside = [p.address for p in self.mesh.peers if p.zone == zone] + [
            n.address for n in self.nodes if n.settings.zone == zone
        ]
        outside = [p.address for p in self.mesh.peers if p.zone != zone] + [
            n.address for n in self.nodes if n.settings.zone != zone
        ]
        return inside, outside


class RealVotersTest(TestCase):
    def check_mesh(self, check):
        async def run():
            async with open_mesh(ZONES, ROLES) as mesh:
                real = RealMesh(mesh)
                await real.start()
                await check(real)

        run_mesh(run)

    def test_release_is_in_force_soon_after_acceptance(self):
        async def check(real):
            await real.wait_all()
            await trio.sleep(20)
            for through in range(len(ZONES)):
                await real.submit(through)
                began = trio.current_time()
                await real.wait_all()
                self.assertLess(trio.current_time() - began, 0.5)
                await trio.sleep(0.5)
                status = await real.controls[3].service.fleet_status()
                self.assertIs(FleetState.IN_FORCE, status.state)

        self.check_mesh(check)

    def test_nodes_of_a_leader_that_is_cut_off_alone_move_on(self):
        async def check(real):
            await real.wait_all()
            await trio.sleep(5)
            leader = real.leader()
            others = [p.address for p in real.mesh.peers]
            address = real.mesh.peers[leader].address
            others.remove(address)
            real.network.isolate(address, others)
            await real.submit((leader + 1) % VOTERS)
            began = trio.current_time()
            await real.wait_all()
            self.assertLess(trio.current_time() - began, 10)

        self.check_mesh(check)

    def test_zone_cut_off_lags_and_catches_up(self):
        async def check(real):
            await real.wait_all()
            inside, outside = real.part(0)
            for address in inside:
                real.network.isolate(address, outside)
            for _ in range(20):
                await real.submit(1)
            far = [n for n in real.nodes if n.settings.zone != 'a']
            await real.wait_all(far)
            near = [n for n in real.nodes if n.settings.zone == 'a']
            self.assertEqual({1}, {n.number for n in near})
            # Voters of other zones were asked, so more cannot be said.
            with ExpectedException(OutcomeUnknownError):
                await real.controls[3].source.submit(make_note(99))
            real.network.heal()
            await real.wait_all()
            # One update, or two when the poll met a control on its way.
            self.assertLessEqual(len(near[0].numbers), 3)

        self.check_mesh(check)

    def test_restarted_node_never_gets_less_while_a_majority_is_in_reach(self):
        async def check(real):
            await real.wait_all()
            stale = (real.leader() + 1) % VOTERS
            addresses = [p.address for p in real.mesh.peers]
            cut = addresses.pop(stale)
            real.network.isolate(cut, addresses)
            await real.submit(real.leader())
            await real.wait_all(
                [n for n in real.nodes if n.settings.zone != ZONES[stale]]
            )
            for index in range(NODES):
                real.nodes[index].scope.cancel()
                await trio.sleep(0.01)
                await real.start_node(index)
            await real.wait_all()
            for node in real.nodes:
                self.assertIsNotNone(node.client.floor)

        self.check_mesh(check)

    def test_without_majority_a_restarted_node_serves_what_is_in_reach(self):
        async def check(real):
            await real.wait_all()
            await trio.sleep(15)
            for index in range(1, VOTERS):
                real.controls[index].scope.cancel()
            await trio.sleep(10)
            real.nodes[0].scope.cancel()
            await real.start_node(0)
            node = real.nodes[0]
            await wait_until(lambda: node.holder.ready)
            self.assertIsNone(node.client.floor)
            self.assertEqual(real.notes, node.number)

        self.check_mesh(check)

    def test_all_processes_restart_at_once(self):
        async def check(real):
            for _ in range(30):
                await real.submit()
            await real.wait_all()
            for part in (*real.nodes, *real.controls):
                part.scope.cancel()
            await trio.sleep(1)
            for index in range(len(ZONES)):
                await real.start_control(index)
            for index in range(NODES):
                await real.start_node(index)
            await real.wait_all()

        self.check_mesh(check)
