from specs.replace_race import ReplaceRace
from specs.tests.base import ModelTestCase

ONE_ON_A_BASE = 'at most one order on each base is confirmed'
ACCEPTED = 'what is confirmed was accepted'
NOT_REFUSED = 'what was accepted is not refused'


class ReplaceRaceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReplaceRace(), 53_304)

    def test_base_must_be_current(self):
        self.assert_violates(ReplaceRace(checks_base=False), ONE_ON_A_BASE)

    def test_resend_of_any_accepted_order_must_be_known(self):
        self.assert_violates(ReplaceRace(remembers_all=False), NOT_REFUSED)

    def test_resend_must_be_recognised_by_its_content(self):
        self.assert_violates(ReplaceRace(compares_content=False), ACCEPTED)

    def test_answer_must_wait_for_commit(self):
        self.assert_violates(ReplaceRace(answers_after_commit=False), ACCEPTED)

    def test_order_before_its_base_must_not_be_refused(self):
        self.assert_violates(ReplaceRace(waits_for_base=False), NOT_REFUSED)
