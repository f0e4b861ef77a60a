from testtools import TestCase

from snipelead.http.message import Message
from snipelead.nodes.peer_messages import decode_status
from snipelead.nodes.peer_messages import encode_field
from snipelead.nodes.peer_messages import make_status_message
from snipelead.nodes.peer_messages import STATUS_FIELD
from snipelead.nodes.peer_messages import StatusMessage
from snipelead.targets.status import KnownStatus


def decode(value):
    message = Message(None)
    message.fields[STATUS_FIELD] = value
    return decode_status(message)


class StatusMessageTest(TestCase):
    def test_nothing_is_sent_unless_the_target_has_stated_something(self):
        self.assertIsNone(make_status_message(None))
        known = KnownStatus(7)
        self.assertIsNone(make_status_message(known))
        known.rate_limit = 0.0
        self.assertEqual(
            StatusMessage(7, 0.0, False), make_status_message(known)
        )

    def test_message_is_decoded_as_encoded(self):
        message = StatusMessage(7, 20.7, True)
        _, _, value = encode_field(STATUS_FIELD, message).partition(b': ')
        self.assertEqual(message, decode(value))

    def test_malformed_message_is_ignored(self):
        self.assertIsNone(decode_status(Message(None)))
        for value in (
            *(b'', b'[]', b'{', b'[1, "x"]', b'[1, -1.0]', b'[1, 1e400]'),
            *(b'["x", 1.0]', b'[1, NaN]', b'9' * 4_096),
        ):
            self.assertIsNone(decode(value), value)
