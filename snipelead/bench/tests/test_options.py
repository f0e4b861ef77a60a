from testtools import ExpectedException
from testtools import TestCase

from snipelead.bench import calls
from snipelead.bench import distribution
from snipelead.bench import hotpath
from snipelead.exceptions import InvalidParameterError

INVALID_VALUES = (
    (calls, 'seed', '1.5'),
    (calls, 'seconds', '0'),
    (calls, 'seconds', 'nan'),
    (calls, 'policy', 'none'),
    (calls, 'clock', 'sun'),
    (distribution, 'cases', 'change,none'),
    (distribution, 'ways', 'none'),
    (distribution, 'preferences', 'none'),
    (distribution, 'nodes', '10,0'),
    (distribution, 'hosts', '1.5'),
    (distribution, 'wire', 'maybe'),
    (hotpath, 'connections', '1,1.5'),
    (hotpath, 'calls', '0'),
    (hotpath, 'rate', '-1'),
    (hotpath, 'tuned', 'maybe'),
)


class OptionsTest(TestCase):
    def test_invalid_values_are_rejected_before_anything_runs(self):
        for bench, name, value in INVALID_VALUES:
            with ExpectedException(InvalidParameterError, f".*'{name}'.*"):
                bench.run({name: value})
