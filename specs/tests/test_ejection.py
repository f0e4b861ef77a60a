from specs.ejection import TargetEjection
from specs.tests.base import ModelTestCase

USED_AGAIN = 'a target without a probe is used once its ejection is due'


class TargetEjectionTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(TargetEjection(), 1_334)

    def test_violated_if_a_probe_ends_on_some_ways_out_only(self):
        self.assert_violates(
            TargetEjection(ends_with_request=False), USED_AGAIN
        )

    def test_violated_if_any_request_ends_the_probe(self):
        self.assert_violates(
            TargetEjection(ends_with_own_request=False),
            'at most one request is sent at a time',
        )

    def test_violated_if_a_long_probe_keeps_others_away(self):
        self.assert_violates(TargetEjection(limits_probe=False), USED_AGAIN)

    def test_violated_if_an_older_failure_counts(self):
        self.assert_violates(
            TargetEjection(judges_failures=False),
            'no older request ejects a target',
        )

    def test_violated_if_a_failure_of_an_earlier_life_counts(self):
        self.assert_violates(
            TargetEjection(failures_bind_to_incarnation=False),
            'no older request ejects a target',
        )

    def test_violated_if_a_response_of_an_earlier_life_counts(self):
        self.assert_violates(
            TargetEjection(responses_bind_to_incarnation=False),
            'no older response restores a target',
        )
