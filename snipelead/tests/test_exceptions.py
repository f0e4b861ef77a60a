from testtools import TestCase

from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.exceptions import InvalidParameterError
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
