from fixtures import TempDir
from testtools import ExpectedException
from testtools import TestCase

from snipelead.settings.loading import load_settings
from snipelead.testing.exceptions import ConditionTimeoutError
from snipelead.testing.exceptions import ProcessEndedError
from snipelead.testing.processes import Fleet
from snipelead.testing.processes import wait_for
from snipelead.utils.ports import find_free_addresses


class ProcessesTest(TestCase):
    def test_free_addresses_are_unique_across_calls(self):
        addresses = [a for _ in range(500) for a in find_free_addresses(4)]
        self.assertEqual(2_000, len(set(addresses)))

    def test_error_names_process_that_exits_at_start(self):
        directory = self.useFixture(TempDir()).path
        with Fleet(directory, controls=1, services=[]) as fleet:
            [control] = fleet.controls
            fleet.replace_settings(control, snapshot_entries=0)
            with ExpectedException(ProcessEndedError, '.*control-0.*SL5.*'):
                fleet.start()

    def test_process_that_is_killed_by_others_has_ended_by_itself(self):
        directory = self.useFixture(TempDir()).path
        with Fleet(directory, controls=1, services=[]) as fleet:
            [control] = fleet.controls
            control.start()
            self.assertFalse(control.has_ended_by_itself())
            control.popen.kill()
            control.popen.wait()
            self.assertTrue(control.has_ended_by_itself())
            control.start()
            control.kill()
            self.assertFalse(control.has_ended_by_itself())

    def test_timeout_names_condition_and_last_value(self):
        with ExpectedException(
            ConditionTimeoutError, '.*some condition.*None.*'
        ):
            wait_for(lambda: None, 'some condition', timeout_s=0)

    def test_fleet_settings_can_be_loaded(self):
        directory = self.useFixture(TempDir()).path
        with Fleet(directory) as fleet:
            self.assertEqual(
                ['control'] * 3 + ['node'] * 2 + ['target'] * 2,
                [process.kind for process in fleet.processes],
            )
            for process in fleet.processes:
                path = process.write_settings()
                self.assertEqual(process.settings, load_settings(path))
