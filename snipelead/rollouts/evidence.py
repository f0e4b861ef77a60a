"""Comparison of the new version of a service with the previous ones.

Load and faults change while a rollout runs, and so does the share of requests
that the new version gets. Responses are therefore compared within short
windows of time and within routes only, and the differences are added up
(Mantel-Haenszel test). A burst that slows down both versions alike adds
nothing, also if most requests to the new version fall into it.
"""

from bisect import bisect_left
from math import sqrt

from snipelead.messages import RouteCounts

__all__ = [
    'Comparison',
    'TIME_BOUNDS_S',
    'add_counts',
    'pack_counts',
    'time_index',
    'unpack_counts',
]

# Bounds of response times: 20 ms to 5.3 s, each 1.25 times the one before.
TIME_BOUNDS_S = tuple(0.02 * 1.25**step for step in range(26))
TIME_COUNT = len(TIME_BOUNDS_S) + 1
# A response is slow if its time is above the median of the previous versions
# by this number of bounds, a factor of 1.95 to 2.44. Targets of one service
# differ by a factor of up to 2.4, so a smaller factor would report them.
SLOW_BOUNDS = 3
# The comparison is repeated for seconds over several routes and bounds; a
# lower threshold would reject good versions by chance.
MIN_Z = 3.5
# With few targets the new version gets a large share of the requests in a
# window, which leaves few responses to compare with. An excess of failures
# over all earlier responses of the previous versions counts as well if the
# responses of the same windows do not contradict it.
MIN_Z_OF_WINDOWS = 2.0
MIN_Z_OF_HISTORY = 4.5
# Windows in which the previous versions fail more often than this multiple of
# their earlier share are not compared with earlier ones.
MAX_GROWTH_OF_FAILURES = 2.0
MIN_EXCESS_FAILURES = 5
MIN_FAILURE_SHARE = 0.02
MIN_EXCESS_SLOW = 12
# The few targets that a new version uses at first may be slower ones than
# those of the previous version. A small excess counts only if it is frequent.
MIN_SLOW_SHARE = 0.1
MIN_FREQUENT_SLOW = 30
MIN_FREQUENT_SLOW_SHARE = 0.05
# After promotion there are no responses of previous versions in the same
# window. All earlier ones are compared with then, under other load, so that
# a larger excess is needed.
MIN_EXCESS_ALONE = 20
MIN_EXCESS_FAILURES_ALONE = 5
MIN_FAILURE_SHARE_ALONE = 0.05
MIN_SLOW_SHARE_ALONE = 0.1


def time_index(elapsed_s):
    """Return the index of a response time among ``TIME_COUNT``."""
    return bisect_left(TIME_BOUNDS_S, elapsed_s)


def unpack_counts(counts):
    """Return counts as lists by (route, is_new): failures, then times."""
    return {(c.route, c.is_new): [c.failures, *c.times] for c in counts}


def pack_counts(counts_by_key):
    """Return the reverse of :func:`unpack_counts`."""
    return tuple(
        RouteCounts(route, is_new, counts[0], tuple(counts[1:]))
        for (route, is_new), counts in sorted(counts_by_key.items())
    )


def add_counts(total, counts, sign=1):
    """Add counts to a total in the form of :func:`unpack_counts`."""
    for key, values in counts.items():
        known = total.setdefault(key, [0] * (1 + TIME_COUNT))
        for index, value in enumerate(values[: 1 + TIME_COUNT]):
            known[index] += sign * value


class _Test:
    """Excess of one kind of response of the new version, over windows."""

    __slots__ = ('excess', 'new', 'observed', 'pooled_excess', 'variance')

    def __init__(self):
        self.new = self.observed = 0
        self.excess = self.pooled_excess = self.variance = 0.0

    def add(self, new, new_bad, old, old_bad):
        """Add a window with responses of both versions."""
        count, bad = new + old, new_bad + old_bad
        self.new += new
        self.observed += new_bad
        self.excess += new_bad - new * old_bad / old
        self.pooled_excess += new_bad - new * bad / count
        if count > 1:
            self.variance += (
                new * old * bad * (count - bad) / (count**2 * (count - 1))
            )

    def is_large(self, min_excess, min_share):
        """Return whether the excess is large, by number and by share."""
        return (
            self.excess >= min_excess and self.excess >= min_share * self.new
        )

    def exceeds(self, min_z):
        """Return whether the excess is this many standard deviations."""
        return self.pooled_excess >= min_z * sqrt(self.variance)

    def is_significant(self, min_excess, min_share):
        """Return whether the excess is large and not due to chance."""
        return self.is_large(min_excess, min_share) and self.exceeds(MIN_Z)


class _FailureTest(_Test):
    """Excess over the previous versions in the same windows and before."""

    __slots__ = ('history',)

    def __init__(self):
        super().__init__()
        self.history = _Test()

    def add_history(self, new, new_bad, old, old_bad, before, before_bad):
        """Compare a window with earlier responses of the old versions."""
        if not before:
            return
        expected = old * before_bad / before
        if old_bad <= 1 + MAX_GROWTH_OF_FAILURES * expected:
            self.history.add(new, new_bad, before + old, before_bad + old_bad)

    def is_significant(self, min_excess, min_share):
        """Return whether the excess is large and not due to chance."""
        if not self.is_large(min_excess, min_share):
            return False
        return self.exceeds(MIN_Z) or (
            self.exceeds(MIN_Z_OF_WINDOWS)
            and self.history.is_large(min_excess, min_share)
            and self.history.exceeds(MIN_Z_OF_HISTORY)
        )


class Comparison:
    """Comparison of versions, route by route.

    Attributes
    ----------
    new_count, old_count : int
        Responses of the new and the previous versions so far.
    """

    def __init__(self):
        self.new_count = self.old_count = 0
        self._failures = {}
        self._slow = {}
        self._all_failures = _FailureTest()
        self._all_slow = _Test()
        self._alone_failures = {}
        self._alone_slow = {}
        self._old = {}

    def add_window(self, counts_by_key):
        """Add the responses of a window of time.

        Parameters
        ----------
        counts_by_key : dict
            Responses in the form of :func:`unpack_counts`.
        """
        nothing = [0] * (1 + TIME_COUNT)
        for route in sorted({route for route, _ in counts_by_key}):
            new = counts_by_key.get((route, True), nothing)
            old = counts_by_key.get((route, False), nothing)
            known_old = self._old.setdefault(route, list(nothing))
            before = list(known_old)
            for index, value in enumerate(old):
                known_old[index] += value
            self.new_count += sum(new[1:])
            self.old_count += sum(old[1:])
            if not any(new[1:]):
                continue
            if any(old[1:]):
                self._add_pair(route, new, old, before)
            else:
                self._add_alone(route, new, known_old)

    def _add_pair(self, route, new, old, before):
        """Add responses of both versions from the same window."""
        new_count, old_count = sum(new[1:]), sum(old[1:])
        window = (new_count, new[0], old_count, old[0])
        for test in (
            self._failures.setdefault(route, _FailureTest()),
            self._all_failures,
        ):
            test.add(*window)
            test.add_history(*window, sum(before[1:]), before[0])
        tests = self._slow.setdefault(
            route, [_Test() for _ in range(TIME_COUNT + 1)]
        )
        slow_index = self._first_slow_index(route)
        for index, new_slow, old_slow in _tails(new, old):
            window = (new_count, new_slow, old_count, old_slow)
            tests[index].add(*window)
            if index == slow_index:
                self._all_slow.add(*window)

    def _add_alone(self, route, new, old):
        """Add a window without previous versions; compare with earlier."""
        new_count, old_count = sum(new[1:]), sum(old[1:])
        if not old_count:
            return
        self._alone_failures.setdefault(route, _Test()).add(
            new_count, new[0], old_count, old[0]
        )
        slow_index = self._first_slow_index(route)
        test = self._alone_slow.setdefault(route, _Test())
        for index, new_slow, old_slow in _tails(new, old):
            if index == slow_index:
                test.add(new_count, new_slow, old_count, old_slow)

    def count_old(self):
        """Return the responses of the previous versions by route."""
        return {route: sum(old[1:]) for route, old in self._old.items()}

    def find_fault(self):
        """Return how the new version is worse, or None.

        Returns
        -------
        str or None
        """
        failures = {None: self._all_failures} | self._failures
        for route, test in failures.items():
            if test.is_significant(MIN_EXCESS_FAILURES, MIN_FAILURE_SHARE):
                return _describe('more failures', route)
        for route, test in self._alone_failures.items():
            if test.is_significant(
                MIN_EXCESS_FAILURES_ALONE, MIN_FAILURE_SHARE_ALONE
            ):
                return _describe('more failures than before', route)
        slow = {None: [self._all_slow]} | {
            route: tests[self._first_slow_index(route) :]
            for route, tests in self._slow.items()
        }
        for route, tests in slow.items():
            for test in tests:
                if test.is_significant(
                    MIN_EXCESS_SLOW, MIN_SLOW_SHARE
                ) or test.is_significant(
                    MIN_FREQUENT_SLOW, MIN_FREQUENT_SLOW_SHARE
                ):
                    return _describe('slower', route)
        for route, test in self._alone_slow.items():
            if test.is_significant(MIN_EXCESS_ALONE, MIN_SLOW_SHARE_ALONE):
                return _describe('slower than before', route)
        return None

    def _first_slow_index(self, route):
        """Return the index of the times from which on a response is slow."""
        times = self._old[route][1:]
        half, seen = sum(times) / 2, 0
        for index, count in enumerate(times):
            seen += count
            if seen >= half:
                # Bound ``index`` is the upper one of the median's times.
                return min(index + SLOW_BOUNDS + 1, TIME_COUNT)
        return TIME_COUNT


def _tails(new, old):
    """Yield the numbers of responses from each time index on."""
    new_tail = old_tail = 0
    for index in reversed(range(1, TIME_COUNT)):
        new_tail += new[1 + index]
        old_tail += old[1 + index]
        yield index, new_tail, old_tail


def _describe(fault, route):
    return fault if route is None else f'{fault} on route {route}'
