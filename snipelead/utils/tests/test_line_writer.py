import os

from testtools import TestCase

from snipelead.utils.line_writer import ALL_LINES_LIMIT_BYTES
from snipelead.utils.line_writer import NonBlockingLineWriter
from snipelead.utils.line_writer import REQUEST_LINES_LIMIT_BYTES

LINE = b'x' * 999


class NonBlockingLineWriterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.read_end, write_end = os.pipe()
        self.write_end = write_end
        self.addCleanup(self.close)
        self.writer = NonBlockingLineWriter(write_end)

    def close(self):
        for descriptor in (self.read_end, self.write_end):
            try:
                os.close(descriptor)
            except OSError:
                continue

    def read_lines(self, count):
        data = b''
        while data.count(b'\n') < count:
            data += os.read(self.read_end, 65536)
            self.writer.flush()
        return data.splitlines()

    def test_lines_arrive_in_order(self):
        for number in range(5):
            self.writer.write(b'%d' % number)
        self.assertEqual([b'0', b'1', b'2', b'3', b'4'], self.read_lines(5))

    def test_line_longer_than_the_pipe_buffer(self):
        self.writer.write(b'y' * 300_000)
        self.assertEqual([b'y' * 300_000], self.read_lines(1))

    def test_stalled_reader_does_not_block_writes(self):
        for _ in range(2_000):
            self.writer.write(LINE, is_request_event=True)
        self.assertGreater(self.writer.reset_dropped_count(), 1_000)
        self.assertLess(
            self.writer.pending_bytes, 2 * REQUEST_LINES_LIMIT_BYTES
        )

    def test_request_lines_are_dropped_first(self):
        for _ in range(1_000):
            self.writer.write(LINE, is_request_event=True)
        self.writer.reset_dropped_count()
        self.writer.write(b'became leader')
        self.assertEqual(0, self.writer.reset_dropped_count())
        written = (1_000 * 1_000 - 0) and self.read_until(b'became leader')
        self.assertIn(b'became leader', written)

    def read_until(self, line):
        lines = []
        while line not in lines:
            lines += os.read(self.read_end, 65536).splitlines()
            self.writer.flush()
        return lines

    def test_buffer_is_bounded_for_all_lines(self):
        for _ in range(5_000):
            self.writer.write(LINE)
        self.assertLess(
            self.writer.pending_bytes, ALL_LINES_LIMIT_BYTES + 2_000
        )
        self.assertGreater(self.writer.reset_dropped_count(), 0)

    def test_closed_pipe_is_not_an_error(self):
        os.close(self.read_end)
        self.writer.write(LINE)
        self.assertEqual(0, self.writer.pending_bytes)
