from testtools import TestCase

from snipelead.utils.bounded_dict import BoundedDict


class BoundedDictTest(TestCase):
    def test_least_recently_set_key_is_evicted(self):
        recent = BoundedDict(2)
        recent['a'] = 1
        recent['b'] = 2
        recent['a'] = 3
        recent['c'] = 4
        self.assertEqual({'a': 3, 'c': 4}, dict(recent))
