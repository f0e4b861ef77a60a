from pathlib import Path
import re
import tempfile

from testtools import ExpectedException
from testtools import TestCase

import snipelead
from snipelead.platform.settings import load_platform_settings
from snipelead.settings.constraints import check_settings
from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import Guarantees
from snipelead.types import MembershipSource

DEPLOY = Path(snipelead.__file__).parents[1] / 'deploy'
# JSON text that the platform substitutes for each template field.
TEMPLATE_VALUES = {
    'node': '"sidecar-riga-a-1"',
    'zone': '"riga-a"',
    'region': '"lv-riga"',
    'service': '"huvo11a"',
    'ip': '"10.1.0.43"',
    'listen.outbound': '"10.1.0.38:8147"',
    'listen.inbound': '"10.1.0.38:8146"',
    'listen.ready': '"10.1.0.38:8141"',
    'listen.control': '"10.1.0.38:8144"',
    'seeds': '["10.1.0.43:8144","10.2.0.44:8144","10.3.0.9:8144"]',
    'internal-ports': '[7380,7395]',
    'heartbeat': '"1500ms"',
    'bounds.grace': '"6s"',
    'bounds.retry-budget-ratio': '0.2',
    'bounds.budget-extra': '64',
    'data-dir': '"/data/my-core"',
    'bootstrap': 'true',
}
BOUNDS_PREFIX = 'bounds.'


def render(name, values):
    """Render a template as the platform does."""
    bounds = ','.join(
        f'"{field.removeprefix(BOUNDS_PREFIX)}":{value}'
        for field, value in values.items()
        if field.startswith(BOUNDS_PREFIX)
    )
    values = {'bounds': f'{{{bounds}}}'} | values
    return re.sub(
        r'\{\{(.+?)\|json\}\}',
        lambda match: values[match.group(1)],
        (DEPLOY / name).read_text(),
    )


class PlatformSettingsTest(TestCase):
    def load(self, name, **changes):
        values = TEMPLATE_VALUES | changes
        return self.load_text(render(name, values))

    def load_text(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
            file.write(text)
            file.flush()
            return load_platform_settings(file.name)

    def test_node_settings(self):
        settings = self.load('node.yaml').to_settings()
        check_settings(settings)
        self.assertEqual('10.1.0.38:8147', settings.caller_address)
        self.assertEqual('10.1.0.38:8146', settings.address)
        self.assertEqual('10.2.0.44:7380', settings.controls[1].address)
        self.assertIs(MembershipSource.LEARNED, settings.membership)
        self.assertEqual(9464, self.load('node.yaml').metrics_port)
        self.assertLess(settings.timings.grace_ms, 6_000)
        self.assertLess(settings.timings.linger_ms, settings.timings.grace_ms)

    def test_guarantees_are_off_unless_they_are_stated(self):
        # A deployment without these bounds must be served as before.
        for name in ('node.yaml', 'control.yaml'):
            settings = self.load(name).to_settings()
            self.assertEqual(Guarantees(), settings.guarantees)

    def test_stated_guarantees_are_passed_on(self):
        stated = {
            'bounds.strict-revoke': 'true',
            'bounds.revoke': '"5000ms"',
            'bounds.quota-window': '"5s"',
            'bounds.quota-overage': '0.1',
            'bounds.quota-extra': '20',
            'bounds.exposure-share': '0.1',
            'bounds.exposure-extra': '50',
            'bounds.rollback': '"5000ms"',
        }
        expected = Guarantees(5_000, 5_000, 0.1, 20.0, 0.1, 50.0, 5_000)
        for name in ('node.yaml', 'control.yaml'):
            settings = self.load(name, **stated).to_settings()
            check_settings(settings)
            self.assertEqual(expected, settings.guarantees)

    def test_bounds_that_are_not_known_are_ignored(self):
        """Guards against processes that a later bound keeps from starting."""
        for name in ('node.yaml', 'control.yaml'):
            later = {'bounds.seed-lag': '"3s"', 'bounds.later-one': '7'}
            settings = self.load(name, **later).to_settings()
            self.assertEqual(Guarantees(), settings.guarantees)

    def test_group_of_bounds_may_be_missing(self):
        document = render('node.yaml', TEMPLATE_VALUES | {'bounds': 'null'})
        settings = self.load_text(document).to_settings()
        self.assertEqual(Guarantees(), settings.guarantees)

    def test_load_is_shed_by_priority_only_where_customers_compete(self):
        # Other deployments must keep the queues that they had.
        self.assertFalse(
            self.load('node.yaml').to_settings().limits.sheds_load
        )
        limited = self.load('node.yaml', **{'bounds.quota-window': '"5s"'})
        self.assertTrue(limited.to_settings().limits.sheds_load)

    def test_revocation_is_not_bounded_unless_it_is_strict(self):
        settings = self.load(
            'node.yaml',
            **{
                'bounds.strict-revoke': 'false',
                'bounds.revoke': '"5000ms"',
            },
        ).to_settings()
        self.assertEqual(0, settings.guarantees.revocation_ms)

    def test_retries_stay_within_the_budget(self):
        limits = self.load('node.yaml').to_settings().limits
        self.assertLessEqual(limits.retry_ratio, 0.2)
        self.assertLessEqual(limits.retry_extra, 64)

    def test_control_settings(self):
        settings = self.load('control.yaml').to_settings()
        check_settings(settings)
        self.assertEqual('10.1.0.43:7380', settings.address)
        self.assertEqual(settings.address, settings.control_id)
        self.assertTrue(settings.may_found)

    def test_control_that_joins_later_may_not_create_a_cluster(self):
        settings = self.load('control.yaml', bootstrap='false')
        self.assertFalse(settings.to_settings().may_found)

    def test_control_need_not_be_a_seed(self):
        settings = self.load('control.yaml', ip='"10.9.0.1"').to_settings()
        check_settings(settings)
        addresses = [peer.address for peer in settings.peers]
        self.assertNotIn(settings.address, addresses)

    def test_invalid_settings_are_rejected(self):
        for changes in (
            {'seeds': '"none"'},
            {'heartbeat': '"soon"'},
            {'listen.ready': '"here"', 'listen.outbound': '"here"'},
            {'bounds.retry-budget-ratio': '7'},
        ):
            with ExpectedException(SettingsError):
                self.load('node.yaml', **changes)
