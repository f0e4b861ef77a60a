from testtools import TestCase

from snipelead.http.request_reading import RequestReader


class ConnectionFieldTest(TestCase):
    """Guards against forwarding fields that a Connection field lists.

    All Connection fields of a message count (RFC 9110, section 7.6.1).
    """

    def test_fields_listed_by_any_connection_field_are_removed(self):
        reader = RequestReader(None)
        reader.feed(
            b'GET / HTTP/1.1\r\n'
            b'Host: shop\r\n'
            b'Connection: X-One\r\n'
            b'Connection: X-Two\r\n'
            b'X-One: 1\r\n'
            b'X-Two: 2\r\n'
            b'\r\n'
        )
        request = reader.ready_messages.popleft()
        self.assertEqual([b'Host: shop'], request.field_lines)
