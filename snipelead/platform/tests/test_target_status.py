from testtools import TestCase

from snipelead.emulator.platform_target import Misbehaviour
from snipelead.http.message import Message
from snipelead.platform.protocols import read_target_status
from snipelead.platform.tests.test_protocols import PlatformTestCase
from snipelead.types import TargetState


def parse_limits(*values):
    """Return the status that a response with some limit fields states."""
    response = Message(None)
    for value in values:
        response.fields[b'server-limit'] = value
        response.field_lines.append(b'Server-Limit: ' + value)
    return read_target_status(response)


class StatusFieldsTest(TestCase):
    def test_decimal_numbers_are_limits(self):
        for value, limit in (
            (b'20.7', 20.7),
            (b'0', 0.0),
            (b' 1.5 ', 1.5),
            (b'0.33333333333333331', 1 / 3),
        ):
            status = parse_limits(value)
            self.assertEqual(limit, status.rate_limit, value)
            self.assertEqual('', status.invalid_rate_limit)

    def test_other_values_are_invalid(self):
        for value in (
            *(b'', b'-1', b'nan', b'inf', b'1e400', b'1,5', b'1_0', b'0x1'),
            *(b'9' * 4_096, b'1.' + b'0' * 4_096, b'\xb2', b'one'),
        ):
            status = parse_limits(value)
            self.assertIsNone(status.rate_limit, value)
            self.assertNotEqual('', status.invalid_rate_limit, value)

    def test_two_limits_are_invalid(self):
        self.assertIsNone(parse_limits(b'5', b'50').rate_limit)


class StatusOfResponsesTest(PlatformTestCase):
    def check_is_recorded(self, misbehaviour=Misbehaviour.NONE):
        async def test(target):
            target.next_misbehaviours = [misbehaviour]
            target.rate_limits = (b'20.7',)
            target.states_leaving = True
            await self.call('/orders/1', 'POST')
            (node,) = (n for n in (self.near, self.far) if n.target is target)
            statuses = node.path.statuses
            entry = (target.target_id, node.entry.target_incarnation)
            self.assertEqual(20.7, statuses.find_rate_limit(*entry))
            self.assertTrue(statuses.is_leaving(*entry))
            metrics, _ = node.metrics.render()
            self.assertIn(b'snipelead_target_rate_limit{', metrics)
            node.local_targets.change_state(target.target_id, TargetState.GONE)
            metrics, _ = node.metrics.render()
            self.assertNotIn(b'snipelead_target_rate_limit{', metrics)

        self.run_with_both_paths(test)

    def test_status_is_read_from_successful_responses(self):
        self.check_is_recorded()

    def test_status_is_read_from_failures_and_refusals(self):
        for misbehaviour in (
            Misbehaviour.ERROR,
            Misbehaviour.SHED,
            Misbehaviour.UNCERTAIN,
            Misbehaviour.TRUNCATED,
            Misbehaviour.ENCODED,
            Misbehaviour.UNFRAMED,
        ):
            self.make_nodes()
            self.check_is_recorded(misbehaviour)

    def test_status_is_forwarded_to_the_caller(self):
        async def test(target):
            target.rate_limits = (b'20.7',)
            response, _ = await self.call()
            self.assertIn(b'Server-Limit: 20.7', response.field_lines)

        self.run_with_both_paths(test)
