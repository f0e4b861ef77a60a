from cleo.testers.application_tester import ApplicationTester
from fixtures import MonkeyPatch
from testtools import TestCase

from snipelead.cli.application import make_application
from snipelead.cli.bench import BENCHES
from snipelead.cli.bench import load_bench
from snipelead.cli.bench import parse_options
from snipelead.cli.exceptions import UsageError

KNOWN = {
    'nodes': ('10,50', 'fleet sizes'),
    'wire': ('no', 'count bytes'),
    'case': ('all', 'cases'),
}


class BenchTest(TestCase):
    def test_each_bench_has_options_and_help(self):
        tester = ApplicationTester(make_application())
        for name in BENCHES:
            module = load_bench(name)
            self.assertTrue(callable(module.run))
            self.assertEqual(0, tester.execute(f'bench {name} --help'))
            output = tester.io.fetch_output()
            for option in module.OPTIONS:
                self.assertIn(f'{option}=', output)

    def test_options_reach_the_bench(self):
        given = []
        self.useFixture(
            MonkeyPatch('snipelead.bench.distribution.run', given.append)
        )
        tester = ApplicationTester(make_application())
        code = tester.execute('bench distribution nodes=7 wire=yes')
        self.assertEqual(0, code, tester.io.fetch_error())
        self.assertEqual('7', given[0]['nodes'])
        self.assertEqual('yes', given[0]['wire'])
        defaults = load_bench('distribution').OPTIONS
        self.assertEqual(set(defaults), set(given[0]))

    def test_wrong_options_are_usage_errors(self):
        for pair in ('nodes=ten', 'nodes=1,x', 'wire=maybe', 'size=3', 'x'):
            self.assertRaises(UsageError, parse_options, [pair], KNOWN)

    def test_right_options_replace_defaults(self):
        options = parse_options(['nodes=1,2,3', 'case=cold'], KNOWN)
        self.assertEqual(
            {'nodes': '1,2,3', 'wire': 'no', 'case': 'cold'}, options
        )
