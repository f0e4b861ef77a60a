from msgspec.structs import replace
from testtools import ExpectedException
from testtools import TestCase
import zstandard

from snipelead.releases.delta import apply_delta
from snipelead.releases.delta import make_delta
from snipelead.releases.document import Customer
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Release
from snipelead.releases.document import Service
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import DigestMismatchError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.releases.note import load_note
from snipelead.releases.note_application import apply_note
from snipelead.releases.packing import pack
from snipelead.releases.packing import unpack_delta
from snipelead.releases.packing import unpack_release

FIRST_NOTE = """
release: 1
note: n1
changes:
  - {action: add, service: {name: stock}}
  - {action: add, route: {name: levels, service: stock, path_prefix: /levels}}
"""
SECOND_NOTE = """
release: 2
note: n2
changes:
  - {action: change, service: {name: stock, slots: 6}}
  - {action: add, setting: {name: unit, value: litre}}
"""


class ReleaseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.first = apply_note(EMPTY_RELEASE, load_note(FIRST_NOTE))
        self.second = apply_note(self.first, load_note(SECOND_NOTE))

    def test_delta_produces_the_new_release(self):
        delta = make_delta(self.first, self.second)
        self.assertEqual(
            self.second.digest, apply_delta(self.first, delta).digest
        )

    def test_explicit_default_does_not_change_the_digest(self):
        note = load_note(
            'release: 3\nnote: n3\nchanges:\n'
            '  - {action: change, route: {name: levels, service: stock,'
            ' path_prefix: /levels, deadline_ms: 2000}}'
        )
        third = apply_note(self.second, note)
        delta = make_delta(self.second, third)
        self.assertEqual((), delta.routes)
        self.assertEqual(third.digest, apply_delta(self.second, delta).digest)

    def test_release_without_customers_keeps_its_digest(self):
        # Nodes and controls of different versions compare digests.
        self.assertEqual(
            'c309cdc8855a31bd8d7b6a283f14ce6f', self.second.digest
        )

    def test_customers_and_public_routes_change_the_digest(self):
        base = self.second
        route = replace(base.routes['levels'], public=True)
        public = Release(
            base.number, base.services, {'levels': route}, base.settings
        )
        self.assertNotEqual(base.digest, public.digest)
        customers = {'balts': Customer('balts', ('k1',))}
        with_customers = Release(
            base.number,
            base.services,
            base.routes,
            base.settings,
            customers,
        )
        self.assertNotEqual(base.digest, with_customers.digest)

    def test_notes_add_and_withdraw_customers(self):
        note = load_note(
            'release: 3\nnote: n3\nchanges:\n'
            '  - {action: add, customer: {name: balts, api_keys: [k1, k2],'
            ' rate_per_s: 5, burst: 10}}'
        )
        third = apply_note(self.second, note)
        self.assertEqual(('k1', 'k2'), third.customers['balts'].api_keys)
        note = load_note(
            'release: 4\nnote: n4\nchanges:\n'
            '  - {action: withdraw, customer: balts}'
        )
        self.assertEqual({}, apply_note(third, note).customers)

    def test_keys_are_not_part_of_representations(self):
        # Representations end up in log lines and error messages.
        customer = Customer('balts', ('secret-key',))
        release = Release(1, customers={'balts': customer})
        self.assertNotIn('secret-key', repr((customer, release)))

    def test_delta_for_another_base_is_refused(self):
        delta = make_delta(self.first, self.second)
        with ExpectedException(DigestMismatchError):
            apply_delta(EMPTY_RELEASE, delta)

    def test_dangling_route_is_refused(self):
        note = load_note(
            'release: 3\nnote: n3\nchanges:\n'
            '  - {action: withdraw, service: stock}'
        )
        with ExpectedException(DanglingReferenceError):
            apply_note(self.second, note)

    def test_number_not_above_current_is_refused(self):
        with ExpectedException(ReleaseNumberTooLowError):
            apply_note(self.second, load_note(SECOND_NOTE))

    def test_key_given_twice_is_refused(self):
        with ExpectedException(InvalidNoteError, '.*given twice.*'):
            load_note('release: 3\nnote: n3\nrelease: 4\nchanges: []')

    def test_values_out_of_range_are_refused(self):
        template = (
            'release: {release}\nnote: "{note}"\nchanges:\n'
            '  - {{action: add, setting: {{name: s, value: {value}}}}}\n'
        )
        valid = {'release': 3, 'note': 'n3', 'value': 1}
        self.assertEqual(3, load_note(template.format(**valid)).release)
        for change in (
            {'release': 0},
            {'release': 10**30},
            {'note': ''},
            {'note': 'n' * 300},
            {'value': 10**30},
        ):
            with ExpectedException(InvalidNoteError):
                load_note(template.format(**valid | change))

    def test_deadline_above_the_maximum_is_refused(self):
        route = '{name: r, service: stock, deadline_ms: 60001}'
        note = load_note(
            'release: 3\nnote: n3\nchanges:\n'
            f'  - {{action: add, route: {route}}}'
        )
        with ExpectedException(InvalidNoteError):
            apply_note(self.second, note)

    def test_unknown_key_is_refused(self):
        with ExpectedException(InvalidNoteError):
            load_note('release: 1\nnote: n\nchanges: []\nextra: 1')

    def test_delta_that_removes_a_referenced_service_is_refused(self):
        broken = Release(3, {}, self.second.routes, self.second.settings)
        delta = make_delta(self.second, broken)
        with ExpectedException(DanglingReferenceError):
            apply_delta(self.second, delta)

    def test_changed_entry_of_a_validated_base_is_checked(self):
        services = {'stock': Service('stock', slots=0)}
        broken = Release(3, services, self.second.routes)
        delta = make_delta(self.second, broken)
        with ExpectedException(InvalidNoteError):
            apply_delta(self.second, delta)

    def test_pack_and_unpack_release(self):
        unpacked = unpack_release(pack(self.second), self.second.release_id)
        self.assertEqual(self.second, unpacked)

    def test_packed_release_with_another_identity_is_refused(self):
        with ExpectedException(DigestMismatchError):
            unpack_release(pack(self.first), self.second.release_id)

    def test_undecodable_bytes_are_refused(self):
        for data in (b'', b'nonsense', pack(self.first)[:-3]):
            with ExpectedException(DigestMismatchError):
                unpack_delta(data)

    def test_frame_with_too_large_content_is_refused(self):
        frame = zstandard.ZstdCompressor().compress(bytes(100_000_000))
        with ExpectedException(DigestMismatchError):
            unpack_delta(frame)
