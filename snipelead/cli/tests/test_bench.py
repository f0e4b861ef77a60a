from cleo.testers.application_tester import ApplicationTester
from fixtures import MonkeyPatch
from testtools import TestCase

from snipelead.cli.application import make_application
from snipelead.cli.bench import BENCHMARKS
from snipelead.cli.bench import load_benchmark
from snipelead.cli.bench import parse_options
from snipelead.cli.exceptions import UsageError

DECLARED_OPTIONS = {
    'nodes': ('10,50', 'fleet sizes'),
    'wire': ('no', 'count bytes'),
    'case': ('all', 'cases'),
}


class BenchCommandTest(TestCase):
    def test_each_benchmark_shows_its_options_as_help(self):
        tester = ApplicationTester(make_application())
        for name in BENCHMARKS:
            module = load_benchmark(name)
            self.assertTrue(callable(module.run))
            self.assertEqual(0, tester.execute(f'bench {name} --help'))
            output = tester.io.fetch_output()
            for option in module.OPTIONS:
                self.assertIn(f'{option}=', output)

    def test_options_are_passed_to_the_benchmark(self):
        received = []
        self.useFixture(
            MonkeyPatch('snipelead.bench.distribution.run', received.append)
        )
        tester = ApplicationTester(make_application())
        code = tester.execute('bench distribution nodes=7 wire=yes')
        self.assertEqual(0, code, tester.io.fetch_error())
        self.assertEqual('7', received[0]['nodes'])
        self.assertEqual('yes', received[0]['wire'])
        defaults = load_benchmark('distribution').OPTIONS
        self.assertEqual(set(defaults), set(received[0]))

    def test_invalid_options_are_usage_errors(self):
        for assignment in (
            'nodes=ten',
            'nodes=1,x',
            'wire=maybe',
            'size=3',
            'x',
        ):
            self.assertRaises(
                UsageError, parse_options, [assignment], DECLARED_OPTIONS
            )

    def test_valid_options_override_defaults(self):
        options = parse_options(['nodes=1,2,3', 'case=cold'], DECLARED_OPTIONS)
        self.assertEqual(
            {'nodes': '1,2,3', 'wire': 'no', 'case': 'cold'}, options
        )
