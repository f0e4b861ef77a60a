from testtools import TestCase

from snipelead.callers.events import CALL_REFUSED
from snipelead.utils.log_parsing import explain_request
from snipelead.utils.log_parsing import parse_log_lines

REFUSED = (
    '{"number":3016,"request":"a1","route":"r","code":"SL3006",'
    '"event":"call_refused","node":"n1","level":"warning",'
    '"timestamp":"2026-12-04T00:00:02.000001Z"}'
)
NOT_ADMITTED = (
    '  56.1970 n2 {"number":3013,"request":"a1","route":"r","slots":18,'
    '"event":"call_not_admitted","node":"n2","level":"warning",'
    '"timestamp":"2026-12-04T00:00:01.000001Z"}'
)
OTHER = REFUSED.replace('a1', 'b2')


class LogParsingTest(TestCase):
    def test_lines_of_one_request_are_in_order_of_time(self):
        lines = parse_log_lines('\n'.join((REFUSED, OTHER, NOT_ADMITTED)))
        first, second = explain_request(lines, 'a1')
        self.assertTrue(
            first.startswith('00:00:01.000001 n2 call_not_admitted: route=r')
        )
        self.assertIn('slots=18', first)
        self.assertIn('code=SL3006', second)
        self.assertIn(CALL_REFUSED.description, second)

    def test_other_lines_are_skipped(self):
        text = '\n'.join(('', 'Traceback:', '{"number":', '{}', '[1]'))
        self.assertEqual([], parse_log_lines(text))

    def test_unknown_request_has_no_lines(self):
        self.assertEqual([], explain_request(parse_log_lines(REFUSED), 'c3'))
