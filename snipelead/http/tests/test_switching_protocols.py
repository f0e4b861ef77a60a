from testtools import TestCase

from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.reading import ResponseReader

OFFERS = (
    b'',
    b'Upgrade: h2c\r\n',
    b'Connection: Upgrade\r\n',
    b'Upgrade: h2c\r\nConnection: Upgrade\r\n',
    b'Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n',
)
FINAL_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
SWITCHING_PROTOCOLS = 101


class SwitchingProtocolsTest(TestCase):
    """The parser raised an error of its own for status 101 with an offer."""

    def check_statuses(self, step):
        for status in range(100, 200):
            for offer in OFFERS:
                head = b'HTTP/1.1 %d X\r\n%b\r\n' % (status, offer)
                data = head + FINAL_RESPONSE
                reader = ResponseReader(None)
                for start in range(0, len(data), step):
                    if reader.error is None:
                        reader.feed(data[start : start + step])
                if status == SWITCHING_PROTOCOLS:
                    self.assertIsInstance(reader.error, MalformedMessageError)
                else:
                    self.assertIsNone(reader.error)
                    responses = [r.status for r in reader.ready_messages]
                    self.assertEqual([status, 200], responses)

    def test_interim_responses_that_arrive_whole(self):
        self.check_statuses(step=1_000)

    def test_interim_responses_that_arrive_in_parts(self):
        self.check_statuses(step=1)

    def test_offer_in_a_final_response_is_ignored(self):
        reader = ResponseReader(None)
        reader.feed(
            b'HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertIsNone(reader.error)
        self.assertEqual(200, reader.ready_messages[0].status)
