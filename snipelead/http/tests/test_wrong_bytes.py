import random

from testtools import TestCase

from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.exceptions import UpgradeRefusedError
from snipelead.http.reading import ResponseReader
from snipelead.http.request_reading import RequestReader
from snipelead.testing.wrong_bytes import WrongBytes

EXPECTED_ERRORS = (*INCOMPLETE_MESSAGE_ERRORS, UpgradeRefusedError)
SEED_COUNT = 3_000
MAX_PART_BYTES = 200
# Python converts at most 4,300 digits to an integer.
LONG_LENGTH = b'0' * 5_000 + b'3'


class WrongBytesTest(TestCase):
    """A reader raises only the errors that its users expect."""

    def check_reader(self, reader_class, draw):
        kinds = set()
        for seed in range(SEED_COUNT):
            rng = random.Random(seed)
            data = draw(WrongBytes(rng))
            reader = reader_class(None)
            while data and reader.error is None:
                size = rng.randint(1, MAX_PART_BYTES)
                reader.feed(data[:size])
                data = data[size:]
            for message in reader.ready_messages:
                kinds.add(type(message.content_length))
            if reader.error is not None:
                self.assertIsInstance(reader.error, EXPECTED_ERRORS)
            kinds.add(type(reader.error))
        return kinds

    def test_random_requests(self):
        kinds = self.check_reader(RequestReader, WrongBytes.draw_request)
        self.assertIn(UpgradeRefusedError, kinds)
        self.assertIn(int, kinds)

    def test_random_responses(self):
        kinds = self.check_reader(ResponseReader, WrongBytes.draw_response)
        self.assertIn(MalformedMessageError, kinds)
        self.assertIn(int, kinds)


class LongLengthTest(TestCase):
    """A length whose digits could not be converted raised a ValueError."""

    def check_malformed(self, reader_class, start_line):
        for rest in (b'', b'ab', b'abc'):
            reader = reader_class(None)
            reader.feed(
                b'%b\r\nHost: mesh\r\nContent-Length: %b\r\n\r\n%b'
                % (start_line, LONG_LENGTH, rest)
            )
            self.assertIsInstance(reader.error, MalformedMessageError)
            self.assertEqual(0, len(reader.ready_messages))

    def test_request(self):
        self.check_malformed(RequestReader, b'POST / HTTP/1.1')

    def test_response(self):
        self.check_malformed(ResponseReader, b'HTTP/1.1 200 OK')

    def test_leading_zeros_are_read_as_part_of_a_length(self):
        reader = RequestReader(None)
        reader.feed(
            b'POST / HTTP/1.1\r\nHost: mesh\r\nContent-Length: 0003\r\n\r\nabc'
        )
        self.assertIsNone(reader.error)
        self.assertTrue(reader.ready_messages[0].complete)
