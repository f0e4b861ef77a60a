"""Tests of the operator API with the real control service."""

from functools import partial

import msgspec
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.controls.service import ControlService
from snipelead.operators.app import make_operator_app
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import ReleaseContents
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.releases.note import load_note
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.testing.fakes import FailingSource
from snipelead.testing.network import MemoryNetwork

NOTE = 'release: 1\nnote: n1\nchanges: []\n'
OWN_PEER = Peer(control_id='c1', zone='z1', address='127.0.0.1:1')
SECOND_PEER = Peer(control_id='c2', zone='z2', address='127.0.0.1:2')
THIRD_PEER = Peer(control_id='c3', zone='z3', address='127.0.0.1:3')


class RealServiceTest(TestCase):
    def get(self, path, result_type):
        return trio.run(
            partial(self.send_request, path, result_type),
            clock=MockClock(autojump_threshold=0),
        )

    async def send_request(self, path, result_type):
        settings = ControlSettings(
            control_id=OWN_PEER.control_id,
            zone=OWN_PEER.zone,
            address=OWN_PEER.address,
            operator_address='127.0.0.1:9',
            data_dir='unused',
            peers=(OWN_PEER, SECOND_PEER, THIRD_PEER),
        )
        source = FailingSource()
        source.apply(load_note(NOTE))
        transport = MemoryNetwork().transport(OWN_PEER.address)
        service = ControlService(settings, source, transport)
        client = make_operator_app(service, source).test_client()
        async with trio.open_nursery() as nursery:
            await nursery.start(service.run)
            response = await client.get(path)
            body = await response.get_data(as_text=False)
            nursery.cancel_scope.cancel()
        self.assertEqual(200, response.status_code, body)
        return msgspec.json.decode(body, type=result_type)

    def test_fleet_report(self):
        report = self.get('/v1/fleet', FleetReport)
        self.assertEqual(1, report.current.number)
        self.assertEqual(['c1'], [c.control_id for c in report.controls])
        self.assertEqual(('c2', 'c3'), report.unreachable_controls)
        self.assertEqual(('c1',), report.warming_controls)

    def test_release_contents(self):
        contents = self.get('/v1/releases/current', ReleaseContents)
        self.assertEqual(contents.held, contents.to_release().release_id)

    def test_release_status(self):
        status = self.get('/v1/releases/1', ReleaseStatus)
        self.assertEqual(ReleaseState.ACCEPTED, status.state)
        self.assertEqual(('c2', 'c3'), status.unreachable_controls)
