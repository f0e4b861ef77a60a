from msgspec.structs import replace
from testtools import TestCase

from snipelead.settings.deployment import check_deployment
from snipelead.settings.exceptions import SettingsError
from snipelead.settings.loading import load_settings
from snipelead.settings.tests.test_examples import EXAMPLES

PROCESS_NAMES = ('control-a', 'control-b', 'node-stock-1', 'target-stock-1')


class CheckDeploymentTest(TestCase):
    def setUp(self):
        super().setUp()
        directory = EXAMPLES / 'dozators'
        self.settings = {
            name: load_settings(directory / f'{name}.yaml')
            for name in PROCESS_NAMES
        }

    def change(self, name, **changes):
        self.settings[name] = replace(self.settings[name], **changes)

    def assert_refused(self, name, key):
        error = self.assertRaises(
            SettingsError, check_deployment, self.settings
        )
        self.assertEqual(name, error.details['file'])
        self.assertEqual(key, error.details['key'])

    def test_example_deployments_are_consistent(self):
        for directory in ('dozators', 'feriasoft'):
            paths = sorted((EXAMPLES / directory).glob('*.yaml'))
            check_deployment({path: load_settings(path) for path in paths})

    def test_shared_address_is_refused(self):
        used = self.settings['control-a'].operator_address
        self.change('target-stock-1', address=used)
        self.assert_refused('target-stock-1', 'address')

    def test_shared_data_dir_is_refused(self):
        used = self.settings['control-a'].data_dir
        self.change('control-b', data_dir=used)
        self.assert_refused('control-b', 'data_dir')

    def test_shared_id_is_refused(self):
        self.settings['other'] = self.settings['node-stock-1']
        self.assert_refused('other', 'node_id')

    def test_different_lists_of_controls_are_refused(self):
        controls = self.settings['node-stock-1'].controls
        self.change('node-stock-1', controls=controls[:1])
        self.assert_refused('node-stock-1', 'controls')
