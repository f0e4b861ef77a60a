from testtools.content import text_content
from testtools.testcase import TestCase

from specs.checking import check_model


class ModelTestCase(TestCase):
    """Asserts the result of a model check and records the search."""

    def run_check(self, model, **options):
        report = check_model(model, **options)
        self.addDetail(f'{type(model).__name__}', text_content(str(report)))
        print(report)
        return report

    def assert_holds(self, model, states, **options):
        report = self.run_check(model, **options)
        self.assertEqual({}, report.violations)
        self.assertTrue(report.exhaustive)
        self.assertEqual(states, report.states)

    def assert_violates(self, model, name, **options):
        report = self.run_check(model, **options)
        self.assertIn(name, report.violations)
        return report.labels(name)
