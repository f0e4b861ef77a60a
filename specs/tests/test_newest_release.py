from specs.newest_release import NewestRelease
from specs.tests.base import ModelTestCase

CURRENT = 'no outdated release decides what is absent'
MECHANISMS = (
    'requires_proof',
    'joins_later_question',
    'requires_certification',
    'waits_for_release',
)


class NewestReleaseTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(NewestRelease(), 45)

    def test_each_mechanism_is_needed(self):
        for name in MECHANISMS:
            self.assert_violates(NewestRelease(**{name: False}), CURRENT)
