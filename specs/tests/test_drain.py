from specs.drain import Drain
from specs.tests.base import ModelTestCase

NO_LATE_START = 'a leaving target starts no request'


class DrainTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(Drain(), 3_729)

    def test_violated_if_only_the_directory_stops_senders(self):
        self.assert_violates(
            Drain(checks_on_arrival=False, checks_before_start=False),
            NO_LATE_START,
        )

    def test_violated_without_check_before_start(self):
        self.assert_violates(Drain(checks_before_start=False), NO_LATE_START)

    def test_violated_if_target_does_not_wait_for_in_flight(self):
        self.assert_violates(
            Drain(waits_for_in_flight=False), 'no request in flight is aborted'
        )
