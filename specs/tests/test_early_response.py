from specs.early_response import EarlyResponse
from specs.tests.base import ModelTestCase


class EarlyResponseTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(EarlyResponse(), 112)

    def test_violated_if_a_refusal_leaves_no_mark(self):
        self.assert_violates(
            EarlyResponse(marks_before_sending=False),
            'no request is sent within a body',
        )

    def test_violated_if_a_reset_is_forgotten(self):
        self.assert_violates(
            EarlyResponse(remembers_reset=False),
            'no part of a response is delivered as complete',
        )

    def test_violated_if_an_end_of_stream_is_taken_for_a_reset(self):
        self.assert_violates(
            EarlyResponse(tells_end_from_reset=False),
            'a complete response is delivered',
        )
