from collections import Counter
from importlib import util
from pathlib import Path

from testtools import TestCase
import yaml

from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note import load_note
from snipelead.releases.note_application import apply_note
from snipelead.releases.note_application import validate_note
from snipelead.settings.loading import load_settings
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import TargetSettings
from snipelead.types import Preference
from snipelead.types import RequestClass

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'


def load_generator():
    path = EXAMPLES / 'generate.py'
    spec = util.spec_from_file_location('generate', path)
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class ExamplesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.generator = load_generator()

    def load(self, name):
        paths = sorted((EXAMPLES / name).glob('*.yaml'))
        return [load_settings(path) for path in paths]

    def check_deployment(self, name, services, preference, limits):
        settings = self.load(name)
        controls = [s for s in settings if isinstance(s, ControlSettings)]
        nodes = [s for s in settings if isinstance(s, NodeSettings)]
        targets = [s for s in settings if isinstance(s, TargetSettings)]
        self.assertEqual({preference}, {c.preference for c in controls})
        self.assertEqual(3, len({c.zone for c in controls}))
        self.assertEqual(services, Counter(t.service for t in targets))
        self.assertEqual(
            {n.admin_address for n in nodes},
            {t.node_admin_address for t in targets},
        )
        self.assertEqual({limits}, {(t.slots, t.connections) for t in targets})
        self.assertEqual({controls[0].peers}, {n.controls for n in nodes})
        self.check_zones(nodes, targets)
        return self.collect_addresses(controls, nodes, targets)

    def check_zones(self, nodes, targets):
        zones = {n.admin_address: n.zone for n in nodes}
        served_zones = {
            (t.service, zones[t.node_admin_address]) for t in targets
        }
        # Each service has targets in all three availability zones.
        services = {t.service for t in targets}
        self.assertEqual(3 * len(services), len(served_zones))

    def collect_addresses(self, controls, nodes, targets):
        addresses = [
            a for c in controls for a in (c.address, c.operator_address)
        ]
        for node in nodes:
            addresses += [
                node.caller_address,
                node.address,
                node.admin_address,
            ]
        addresses += [target.address for target in targets]
        self.assertEqual(len(addresses), len(set(addresses)))
        return set(addresses)

    def test_deployments_are_consistent(self):
        dozators = self.check_deployment(
            'dozators',
            {'contracts': 5, 'stock': 7},
            Preference.CONVERGENCE,
            (20, 130),
        )
        feriasoft = self.check_deployment(
            'feriasoft',
            {'cobranza': 4, 'padron-ferias': 4},
            Preference.BYTES,
            (6, 110),
        )
        self.assertEqual(set(), dozators & feriasoft)

    def test_files_match_the_generator(self):
        for deployment in self.generator.DEPLOYMENTS:
            expected = self.generator.make_settings(deployment)
            directory = EXAMPLES / deployment.name
            actual = {
                path.name: yaml.safe_load(path.read_text())
                for path in directory.glob('*.yaml')
            }
            self.assertEqual(expected, actual)

    def test_release_notes_match_the_deployments(self):
        for deployment in self.generator.DEPLOYMENTS:
            path = EXAMPLES / f'{deployment.name}.yaml'
            note = load_note(path.read_text())
            self.assertEqual((), validate_note(note))
            release = apply_note(EMPTY_RELEASE, note)
            self.assertEqual(set(deployment.services), set(release.services))
            routes = release.routes.values()
            classes = {route.request_class for route in routes}
            self.assertEqual(set(RequestClass), classes)
            for route in routes:
                once = route.request_class is RequestClass.ONCE
                self.assertNotEqual(once, route.repeatable, route.name)
