from specs.drain import Drain
from specs.tests.base import ModelTestCase

NO_WORK = 'a leaving target begins no work'


class DrainTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(Drain(), 3_729)

    def test_directory_alone_is_too_late(self):
        self.assert_violates(
            Drain(checks_at_arrival=False, checks_at_start=False), NO_WORK
        )

    def test_waiting_requests_must_be_checked_again(self):
        self.assert_violates(Drain(checks_at_start=False), NO_WORK)

    def test_target_must_wait_for_work_in_flight(self):
        self.assert_violates(
            Drain(waits_for_in_flight=False), 'no request in flight is cut'
        )
