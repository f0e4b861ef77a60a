import msgspec
from testtools import TestCase

from snipelead.releases.comparison import ValueChange
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.findings import FindingKind
from snipelead.releases.findings import Level
from snipelead.releases.note import Change
from snipelead.releases.note import find_note_errors
from snipelead.releases.note import ReleaseNote
from snipelead.releases.note_application import apply_note
from snipelead.releases.review import review_note
from snipelead.routing.table import RouteTable


def make_note(*changes, number=1):
    changes = [
        {'action': action, kind: value} for action, kind, value in changes
    ]
    return ReleaseNote(
        number, 'n', msgspec.convert(changes, tuple[Change, ...])
    )


def make_route_note(*routes):
    return make_note(
        ('add', 'service', {'name': 's'}),
        *(('add', 'route', {'service': 's'} | route) for route in routes),
    )


def find_kinds(review):
    return [finding.kind for finding in review.findings]


class ReviewTest(TestCase):
    def review_routes(self, *routes):
        return review_note(make_route_note(*routes), EMPTY_RELEASE)

    def assert_route_finding(self, kind, **fields):
        review = self.review_routes({'name': 'r'} | fields)
        self.assertEqual([kind], find_kinds(review))
        self.assertIn("route 'r'", review.findings[0].entries)

    def review_customer(self, **fields):
        note = make_note(
            ('add', 'service', {'name': 's'}),
            ('add', 'route', {'name': 'r', 'service': 's'}),
            (
                'add',
                'setting',
                {'name': 'callers.authenticate', 'value': True},
            ),
            ('add', 'customer', {'name': 'c', 'api_keys': ['k']} | fields),
        )
        return find_kinds(review_note(note, EMPTY_RELEASE))

    def test_valid_note_has_no_findings(self):
        self.assertEqual([], self.review_customer(rate_per_s=2.0, burst=4.0))

    def test_all_errors_are_reported(self):
        # Guards against reporting only the first error, or a follow-up.
        note = make_note(
            ('add', 'service', {'name': 's', 'slots': 0, 'connections': 0}),
            ('change', 'service', {'name': 'absent'}),
            ('add', 'route', {'name': 'r', 'service': 'absent'}),
            ('add', 'route', {'name': 'q', 'service': 'x', 'settings': ['y']}),
            number=0,
        )
        review = review_note(note, EMPTY_RELEASE)
        self.assertEqual(
            ['SL7004', 'SL7001', 'SL7001', 'SL7001', 'SL7002', 'SL7002'],
            [finding.code for finding in review.errors],
        )
        self.assertEqual(
            [
                (),
                ("service 'absent'",),
                ("service 's'",),
                ("service 's'",),
                ("route 'q'",),
                ("route 'q'",),
            ],
            [finding.entries for finding in review.errors],
        )

    def test_all_unreadable_changes_are_reported(self):
        errors = find_note_errors(
            'release: 0\nnote: n\nchanges:\n'
            '  - {action: add, service: {nam: s}}\n'
            '  - {action: add, service: {name: s}}\n'
            '  - {action: put, service: {name: s}}\n'
        )
        messages = ' '.join(str(error) for error in errors)
        self.assertEqual(3, len(errors))
        self.assertIn('change 1:', messages)
        self.assertIn('change 3:', messages)

    def test_shadowed_routes_are_those_that_never_match(self):
        # The review must agree with the order that the table uses.
        routes = [
            {'name': 'get', 'host': 'A', 'methods': ['GET']},
            {'name': 'post', 'host': 'a', 'methods': ['POST']},
            {'name': 'both', 'host': 'a', 'methods': ['GET', 'POST']},
            {'name': 'more', 'host': 'a', 'methods': ['GET', 'PUT']},
            {'name': 'all', 'host': 'a'},
            {'name': 'last', 'host': 'a', 'methods': ['PUT']},
            {'name': 'long', 'host': 'a', 'path_prefix': '/x'},
            {'name': 'any'},
        ]
        note = make_route_note(*routes)
        table = RouteTable(apply_note(EMPTY_RELEASE, note))
        matched = {
            table.match(host, path, method).name
            for host in ('a', 'b')
            for path in ('/', '/x')
            for method in ('GET', 'POST', 'PUT', 'HEAD')
        }
        review = review_note(note, EMPTY_RELEASE)
        self.assertEqual([FindingKind.SHADOWED_ROUTE] * 2, find_kinds(review))
        self.assertEqual(
            {'both', 'last'}, {route['name'] for route in routes} - matched
        )
        self.assertEqual(
            [
                ("route 'both'", "route 'get'", "route 'post'"),
                ("route 'last'", "route 'all'"),
            ],
            [finding.entries for finding in review.findings],
        )

    def test_routes_that_cannot_match(self):
        self.assert_route_finding(FindingKind.UNMATCHABLE_HOST, host='a:80')
        self.assert_route_finding(
            FindingKind.UNMATCHABLE_PREFIX, path_prefix='/x?y'
        )
        self.assert_route_finding(
            FindingKind.UNMATCHABLE_METHOD, methods=['get']
        )

    def test_weights(self):
        split = [{'service': 's', 'weight': 0}]
        self.assert_route_finding(FindingKind.ZERO_WEIGHTS, split=split)

    def test_contradictory_times(self):
        latency = FindingKind.LATENCY_ABOVE_LIMIT
        self.assert_route_finding(latency, target_latency_ms=2_000)
        self.assert_route_finding(
            latency, target_latency_ms=300, timeout_ms=300
        )
        self.assert_route_finding(
            FindingKind.DEADLINE_ABOVE_TIMEOUT, deadline_ms=10, timeout_ms=9
        )
        self.assert_route_finding(
            FindingKind.TIMEOUT_ABOVE_MAXIMUM, timeout_ms=60_001
        )

    def test_attempts_of_a_route_that_is_not_repeatable(self):
        # Requests that certainly did not run are sent again there too.
        review = self.review_routes({'name': 'r', 'max_attempts': 5})
        self.assertEqual([], find_kinds(review))
        self.assert_route_finding(
            FindingKind.REPEATABLE_ONCE, repeatable=True, request_class='once'
        )

    def test_customers(self):
        for kind, fields in (
            (FindingKind.RATE_WITHOUT_BURST, {'rate_per_s': 5.0}),
            (FindingKind.BURST_WITHOUT_RATE, {'burst': 5.0}),
            (FindingKind.FOREIGN_PRIORITY, {'priority': 7}),
            (FindingKind.NO_KEYS, {'api_keys': []}),
        ):
            self.assertEqual([kind], self.review_customer(**fields))

    def test_unused_entries(self):
        note = make_note(
            ('add', 'service', {'name': 's'}),
            ('add', 'setting', {'name': 'x', 'value': 1}),
            ('add', 'setting', {'name': 'callers.authenticate', 'value': 1}),
            ('add', 'customer', {'name': 'c', 'api_keys': ['k']}),
        )
        review = review_note(note, EMPTY_RELEASE)
        self.assertEqual(
            [
                FindingKind.UNUSED_SERVICE,
                FindingKind.UNREAD_SETTING,
                FindingKind.NOT_BOOLEAN,
                FindingKind.KEYS_NOT_CHECKED,
            ],
            find_kinds(review),
        )
        self.assertEqual({Level.WARNING}, {f.level for f in review.findings})

    def test_entries_that_are_only_assumed_are_not_reviewed(self):
        # Guards against warnings about placeholders without a known release.
        note = make_note(
            ('change', 'service', {'name': 's'}),
            ('add', 'route', {'name': 'r', 'service': 't', 'settings': ['x']}),
            ('withdraw', 'route', 'old'),
            ('withdraw', 'customer', 'c'),
        )
        review = review_note(note)
        self.assertEqual((), review.findings)
        self.assertIsNone(review.differences)

    def test_differences(self):
        base = apply_note(EMPTY_RELEASE, make_route_note({'name': 'r'}))
        note = make_note(
            ('change', 'route', {'name': 'r', 'service': 's', 'priority': 2}),
            ('add', 'service', {'name': 't'}),
            number=2,
        )
        differences = review_note(note, base).differences
        self.assertEqual(
            [('added', 't'), ('changed', 'r')],
            [(d.kind.value, d.name) for d in differences],
        )
        self.assertEqual(
            (ValueChange('priority', 0, 2),), differences[1].values
        )
