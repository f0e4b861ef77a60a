from fixtures import MonkeyPatch
from msgspec.structs import replace
from testtools import TestCase

from snipelead.controls.directory import ControlDirectory
from snipelead.controls.entries import make_tombstone
from snipelead.controls.entries import VersionedEntries
from snipelead.messages import DirectoryUpdate
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.types import TargetState


def _entry(name='t', sequence=1, service='s', incarnation=1):
    return TargetEntry(
        name, 'n', 'a', service, '127.0.0.1:1', incarnation, sequence
    )


class VersionedEntriesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.entries = VersionedEntries()

    def since(self, version, services=None, unseen=()):
        return self.entries.update_since(
            self.entries.epoch, version, services, unseen
        )

    def test_only_changes_are_sent(self):
        self.entries.put(_entry('one'))
        self.entries.put(_entry('two'))
        update = self.since(1)
        self.assertEqual((_entry('two'),), update.entries)
        self.assertFalse(update.is_full)
        self.assertIsNone(self.since(update.version))

    def test_known_entry_does_not_change_the_version(self):
        self.entries.put(_entry())
        self.entries.put(_entry())
        self.assertEqual(1, self.entries.version)

    def test_update_excludes_other_services(self):
        self.entries.put(_entry('one', service='other'))
        self.assertIsNone(self.since(0, ('s',)))

    def test_update_has_all_entries_of_an_unseen_service(self):
        self.entries.put(_entry('one', service='other'))
        update = self.since(1, ('other', 's'), ('other',))
        self.assertEqual(1, len(update.entries))

    def test_unseen_service_without_targets_gets_an_empty_update(self):
        self.assertEqual((), self.since(0, ('s',), ('s',)).entries)

    def test_change_of_service_is_sent_to_subscribers_of_both(self):
        self.entries.put(_entry())
        self.entries.put(_entry(service='other', sequence=2))
        for service in ('s', 'other'):
            self.assertEqual(1, len(self.since(1, (service,)).entries))

    def test_other_epoch_gets_a_full_update(self):
        self.entries.put(_entry())
        update = self.entries.update_since('another', 7)
        self.assertTrue(update.is_full)
        self.assertEqual((_entry(),), update.entries)

    def test_incomplete_entries_are_not_sent_as_full_update(self):
        entries = VersionedEntries(complete=False)
        self.assertFalse(entries.update_since('', 0).is_full)
        epoch = entries.epoch
        entries.set_complete()
        self.assertTrue(entries.update_since(epoch, 0).is_full)

    def test_dropped_tombstone_leads_to_a_full_update(self):
        self.useFixture(
            MonkeyPatch('snipelead.controls.entries.MAX_TOMBSTONES', 1)
        )
        for name in ('one', 'two'):
            self.entries.put(_entry(name))
            self.entries.put(make_tombstone(_entry(name), withdrawn=True))
        self.assertTrue(self.since(1).is_full)
        self.assertEqual(['two'], list(self.entries.entries))
        self.assertFalse(self.since(3).is_full)


class ControlDirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = ControlDirectory(lambda services: None)

    def peer(self, control_id, *entries, is_full=False):
        self.directory.apply_peer(
            control_id, DirectoryUpdate('e', 1, is_full, entries)
        )

    def live(self):
        return self.directory.merged.live()

    def test_newest_entry_wins(self):
        self.peer('c1', _entry(sequence=2))
        self.directory.put_own([_entry(sequence=1)])
        self.assertEqual((_entry(sequence=2),), self.live())

    def test_valid_lease_at_a_peer_wins_over_an_expired_lease(self):
        self.directory.put_own([_entry()])
        self.peer('c1', _entry())
        self.directory.put_own([make_tombstone(_entry(), withdrawn=False)])
        self.assertEqual((_entry(),), self.live())

    def test_withdrawal_wins_over_a_valid_lease_at_a_peer(self):
        self.peer('c1', _entry())
        self.directory.put_own([make_tombstone(_entry(), withdrawn=True)])
        self.assertEqual((), self.live())

    def test_full_update_removes_unlisted_entries(self):
        self.peer('c1', _entry('one'), _entry('two'))
        self.peer('c1', _entry('two'), is_full=True)
        self.assertEqual((_entry('two'),), self.live())

    def test_unreachable_peer_is_used_only_without_another_source(self):
        self.peer('c1', _entry('one'), _entry('two'))
        self.directory.put_own([_entry('one')])
        self.directory.set_reachable('c1', False)
        self.directory.put_own(
            [make_tombstone(_entry('one'), withdrawn=False)]
        )
        self.assertEqual((_entry('two'),), self.live())
        self.directory.set_reachable('c1', True)
        self.assertEqual(2, len(self.live()))

    def test_dropping_a_peer_removes_its_targets(self):
        self.peer('c1', _entry())
        self.directory.drop_peer('c1')
        self.assertEqual((), self.live())


class TargetDirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = TargetDirectory()

    def apply(self, *entries, is_full=False):
        self.directory.apply(DirectoryUpdate('e', 1, is_full, entries))

    def test_older_entry_is_ignored(self):
        self.apply(_entry(sequence=2))
        self.apply(_entry(sequence=1))
        self.directory.merge(_entry(sequence=1))
        self.assertEqual(
            (_entry(sequence=2),), self.directory.get_targets('s')
        )

    def test_entry_with_an_expired_lease_can_return(self):
        self.apply(_entry())
        self.apply(make_tombstone(_entry(), withdrawn=False))
        self.assertEqual((), self.directory.get_targets('s'))
        self.apply(_entry())
        self.assertEqual((_entry(),), self.directory.get_targets('s'))

    def test_withdrawn_entry_cannot_return(self):
        self.apply(_entry())
        self.apply(make_tombstone(_entry(), withdrawn=True))
        self.apply(_entry(), is_full=True)
        self.assertEqual((), self.directory.get_targets('s'))
        self.apply(_entry(sequence=3))
        self.assertEqual(
            (_entry(sequence=3),), self.directory.get_targets('s')
        )

    def test_incremental_update_keeps_unlisted_entries(self):
        self.apply(_entry('one'))
        self.apply(_entry('two'))
        self.assertEqual(2, len(self.directory.get_targets('s')))
        self.apply(_entry('two'), is_full=True)
        self.assertEqual(1, len(self.directory.get_targets('s')))

    def test_tombstones_are_bounded(self):
        self.useFixture(
            MonkeyPatch('snipelead.nodes.directory.MAX_TOMBSTONES', 2)
        )
        for index in range(5):
            entry = _entry(f't{index}')
            self.apply(replace(entry, state=TargetState.GONE))
        self.assertEqual(2, len(self.directory.tombstones))
