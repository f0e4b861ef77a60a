from testtools import TestCase

from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.exceptions import InvalidParameterError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import read_integer_detail
from snipelead.exceptions import SnipeleadError


class ErrorFromInfoTest(TestCase):
    def test_registered_code_gives_its_class(self):
        error = error_from_info(ErrorInfo('SL5001', 'bad', 5, {'got': '3'}))
        self.assertIsInstance(error, InvalidParameterError)
        self.assertEqual(5, error.retry_after_ms)
        self.assertEqual({'got': '3'}, error.details)

    def test_unregistered_code_is_kept(self):
        error = error_from_info(ErrorInfo('SL4999', 'from a later version'))
        self.assertIs(SnipeleadError, type(error))
        self.assertEqual('SL4999: from a later version', str(error))
        self.assertEqual('SL4999', error.to_info().code)

    def test_details_may_be_named_like_parameters(self):
        """The TypeError ended the process that had received the error."""
        for name in ('self', 'message', 'retry_after_ms'):
            info = ErrorInfo('SL5001', 'bad', None, {name: '3'})
            error = error_from_info(info)
            self.assertIsInstance(error, InvalidParameterError)
            self.assertEqual(info, error.to_info())

    def test_broken_invariant_of_another_process_does_not_end_this_one(self):
        error = error_from_info(ErrorInfo('SL9001', 'broken'))
        self.assertNotIsInstance(error, InvariantError)
        self.assertEqual('SL9001: broken', str(error))

    def test_integer_details_that_cannot_be_passed_on_are_none(self):
        """The next message with such a number ended the process."""
        for text in ('', 'x', '-1', '1e3', str(2**63), '9' * 5_000):
            info = ErrorInfo('SL5001', 'bad', None, {'number': text})
            error = error_from_info(info)
            self.assertIsNone(read_integer_detail(error, 'number'))
            self.assertIsNone(read_integer_detail(error, 'missing'))
        info = ErrorInfo('SL5001', 'bad', None, {'number': str(2**63 - 1)})
        self.assertEqual(
            2**63 - 1, read_integer_detail(error_from_info(info), 'number')
        )
