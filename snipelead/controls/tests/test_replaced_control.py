from testtools import TestCase
import trio

from snipelead.controls.entries import VersionedEntries
from snipelead.controls.exchange import TARGET_RETENTION_S
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import ControlEndpoint
from snipelead.messages import ExchangeReply
from snipelead.messages import ExchangeRequest
from snipelead.messages import TargetEntry
from snipelead.testing.source import FakeSource
from snipelead.types import TargetState

OTHER_ADDRESS = '127.0.0.1:7009'
ENTRY = TargetEntry('t', 'n', 'b', 's', '127.0.0.1:1', 1, 1)
# Longer than a poll of the old link and its reply timeout.
SETTLING_TIME_S = 20.0


class LearningSource(FakeSource):
    """Release source that learns of other controls during a test."""

    def __init__(self):
        super().__init__()
        self.endpoints = ()
        self.controls_changed = trio.Event()

    def controls(self):
        return self.endpoints

    async def wait_controls_changed(self):
        await self.controls_changed.wait()

    def learn(self, *endpoints):
        self.endpoints = endpoints
        self.controls_changed.set()
        self.controls_changed = trio.Event()


class FakePeer:
    """Control whose only procedure is the exchange of targets."""

    def __init__(self, *entries):
        self.polls = 0
        self.entries = VersionedEntries()
        for entry in entries:
            self.entries.put(entry)

    async def exchange(self, request):
        self.polls += 1
        update = self.entries.update_since(request.epoch, request.version)
        if update is None:
            await trio.sleep(request.hold_ms / 1_000)
        return ExchangeReply(update)

    async def serve(self, mesh, address):
        await mesh.nursery.start(
            mesh.network.transport(address).serve,
            address,
            {ExchangeRequest: self.exchange},
        )


def _state(control):
    entry = control.service.directory.merged.entries.get('t')
    return None if entry is None else entry.state


def _is_serving(control):
    return _state(control) is TargetState.SERVING


class ReplacedControlTest(TestCase):
    """The targets of a control must follow a change of its id or address.

    The targets known under an old id must be dropped, and those fetched from
    a new address must be kept when the exchange with the old one ends.
    """

    def test_targets_known_under_an_old_id_are_dropped(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                address = mesh.peers[1].address
                await FakePeer(ENTRY).serve(mesh, address)
                source = LearningSource()
                control = await mesh.start_control(0, source)
                await wait_until(lambda: _is_serving(control))
                # Another control without targets replaces c1.
                successor = FakePeer()
                mesh.network.servers[address].handlers = {
                    ExchangeRequest: successor.exchange
                }
                source.learn(ControlEndpoint('new-id', 'b', address))
                await wait_until(lambda: successor.polls > 1)
                await trio.sleep(TARGET_RETENTION_S + SETTLING_TIME_S)
                self.assertEqual(TargetState.GONE, _state(control))

        run_mesh(run)

    def test_targets_fetched_from_a_new_address_are_kept(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                await FakePeer(ENTRY).serve(mesh, mesh.peers[1].address)
                moved = FakePeer(ENTRY)
                await moved.serve(mesh, OTHER_ADDRESS)
                source = LearningSource()
                control = await mesh.start_control(0, source)
                await wait_until(lambda: _is_serving(control))
                source.learn(ControlEndpoint('c1', 'b', OTHER_ADDRESS))
                # The second poll shows that the targets were fetched.
                await wait_until(lambda: moved.polls > 1)
                self.assertEqual(TargetState.SERVING, _state(control))
                await trio.sleep(SETTLING_TIME_S)
                self.assertEqual(TargetState.SERVING, _state(control))

        run_mesh(run)
