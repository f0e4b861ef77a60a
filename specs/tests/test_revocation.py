from specs.revocation import Revocation
from specs.tests.base import ModelTestCase

IN_TIME = 'no request is sent with a key that was revoked too long ago'
MECHANISMS = (
    'counts_from_request',
    'counts_suspension',
    'requires_certification',
    'checks_after_wait',
    'checks_at_target_node',
    'binds_to_release',
)


class RevocationTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(Revocation(), 52_146)

    def test_each_mechanism_is_needed(self):
        for name in MECHANISMS:
            self.assert_violates(Revocation(**{name: False}), IN_TIME)
