import msgspec
from testtools import ExpectedException
from testtools import TestCase

from snipelead.platform.exceptions import UnreadableHeartbeatError
from snipelead.platform.heartbeats import decode_heartbeat
from snipelead.types import TargetState

DOCUMENT = {
    'address': '10.128.0.9:8080',
    'info': {
        'service': 'huvo11a',
        'version': 'v1',
        'zone': 'uy-sur-a',
        'slots': 6,
    },
    'status': {'state': 'ready', 'seq': 4, 'cold-remaining': '1.5s'},
    'born': 1769505055000,
}


class HeartbeatsTest(TestCase):
    def decode(self, **changes):
        document = msgspec.json.decode(msgspec.json.encode(DOCUMENT))
        for path, value in changes.items():
            parent = document
            *parents, name = path.split('__')
            for key in parents:
                parent = parent[key]
            parent[name] = value
        return decode_heartbeat('i-1', msgspec.json.encode(document))

    def test_heartbeat_is_decoded(self):
        heartbeat = self.decode()
        self.assertEqual('i-1', heartbeat.target_id)
        self.assertEqual('huvo11a', heartbeat.service)
        self.assertEqual(6, heartbeat.slots)
        self.assertEqual(4, heartbeat.sequence)
        self.assertEqual(1769505055000, heartbeat.started_ms)
        self.assertEqual(1_500, heartbeat.cold_remaining_ms)
        self.assertEqual('v1', heartbeat.version)
        self.assertIs(TargetState.SERVING, heartbeat.state)

    def test_draining_target_is_leaving(self):
        heartbeat = self.decode(status__state='draining')
        self.assertIs(TargetState.LEAVING, heartbeat.state)

    def test_invalid_values_are_rejected(self):
        for changes in (
            {'status__state': 'well'},
            {'status__seq': '4'},
            {'status__seq': None},
            {'status__cold-remaining': 'soon'},
            {'info__slots': 0},
            {'info__slots': '6'},
            {'info__service': 7},
            {'info': None},
            {'address': 'here'},
            {'address': 5},
            {'born': 1.5},
            {'born': '1769505055000'},
        ):
            with ExpectedException(UnreadableHeartbeatError):
                self.decode(**changes)

    def test_missing_fields_are_rejected(self):
        for name in DOCUMENT:
            document = {k: v for k, v in DOCUMENT.items() if k != name}
            with ExpectedException(UnreadableHeartbeatError):
                decode_heartbeat('i-1', msgspec.json.encode(document))

    def test_malformed_documents_are_rejected(self):
        for body in (b'', b'{', b'\xff\xfe', b'[]', b'null'):
            with ExpectedException(UnreadableHeartbeatError):
                decode_heartbeat('i-1', body)
