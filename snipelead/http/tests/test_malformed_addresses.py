from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError

MALFORMED_ADDRESSES = (
    '',
    ':',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:http',
    '127.0.0.1:-1',
    '127.0.0.1:65536',
    '127.0.0.1:' + '9' * 30,
    '127.0.0.1:' + '9' * 5_000,
    '[::1:80',
    'a' * 300 + ':80',
    '..:80',
    '\0:80',
    '\ud800:80',
)


class MalformedAddressTest(TestCase):
    """Addresses come from other processes; the error ended this one."""

    def test_connection_fails(self):
        for address in MALFORMED_ADDRESSES:
            with ExpectedException(ConnectFailedError):
                trio.run(connect, address)
