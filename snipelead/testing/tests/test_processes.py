from fixtures import TempDir
from testtools import ExpectedException
from testtools import TestCase

from snipelead.settings.loading import load_settings
from snipelead.testing.exceptions import ConditionTimeoutError
from snipelead.testing.processes import Fleet
from snipelead.testing.processes import wait_for
from snipelead.utils.ports import find_free_addresses


class ProcessesTest(TestCase):
    def test_free_addresses_differ(self):
        self.assertEqual(20, len(set(find_free_addresses(20))))

    def test_wait_for_names_what_was_missed(self):
        with ExpectedException(ConditionTimeoutError, '.*the moon.*None.*'):
            wait_for(lambda: None, 'the moon', timeout_s=0)

    def test_fleet_settings_can_be_loaded(self):
        folder = self.useFixture(TempDir()).path
        with Fleet(folder) as fleet:
            self.assertEqual(
                ['control'] * 3 + ['node'] * 2 + ['target'] * 2,
                [process.kind for process in fleet.processes],
            )
            for process in fleet.processes:
                path = process.write_settings()
                self.assertEqual(process.settings, load_settings(path))
