from specs.replace_race import ReplaceRace
from specs.tests.base import ModelTestCase

ONE_PER_BASE = 'at most one replacement of each base is confirmed'
CONFIRMED_ARE_ACCEPTED = 'confirmed replacements are accepted'
ACCEPTED_NOT_REFUSED = 'accepted replacements are not refused'


class ReplaceRaceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReplaceRace(), 53_304)

    def test_violated_if_base_is_not_checked(self):
        self.assert_violates(ReplaceRace(checks_base=False), ONE_PER_BASE)

    def test_violated_if_only_the_newest_is_remembered(self):
        self.assert_violates(
            ReplaceRace(remembers_all_accepted=False), ACCEPTED_NOT_REFUSED
        )

    def test_violated_if_resend_is_identified_by_number(self):
        self.assert_violates(
            ReplaceRace(compares_content=False), CONFIRMED_ARE_ACCEPTED
        )

    def test_violated_by_reply_before_commit(self):
        self.assert_violates(
            ReplaceRace(replies_after_commit=False), CONFIRMED_ARE_ACCEPTED
        )

    def test_violated_if_unknown_base_is_refused(self):
        self.assert_violates(
            ReplaceRace(defers_unknown_base=False), ACCEPTED_NOT_REFUSED
        )
