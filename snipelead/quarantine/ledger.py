"""Evidence on requests that crash targets, shared by all processes."""

from collections import OrderedDict
from enum import Enum
from uuid import uuid4

from msgspec.structs import replace
import trio

from snipelead.logs import log_event
from snipelead.messages import CrashRecord
from snipelead.messages import CrashUpdate
from snipelead.quarantine.events import QUARANTINE_LIFTED
from snipelead.quarantine.events import REQUEST_CLEARED
from snipelead.quarantine.events import REQUEST_QUARANTINED
from snipelead.types import Fingerprint

__all__ = [
    'CrashLedger',
    'Verdict',
    'count_completions',
    'judge',
    'merge_records',
]

# Crashes of different targets after which copies of a request are refused.
CRASHES_UNTIL_QUARANTINE = 3
# Crashes that are listed in a record; further ones change nothing.
MAX_CRASHES_LISTED = 8
# A request is not held responsible if more than this many of its copies are
# completed for each crash.
COMPLETIONS_PER_CRASH = 1
# Completions that are counted for a request, enough to clear one with the
# highest number of crashes listed. Each count is sent to all nodes.
MAX_COMPLETIONS = COMPLETIONS_PER_CRASH * MAX_CRASHES_LISTED + 1
MAX_RECORDS = 1_000
EPOCH_CHARS = 8


class Verdict(Enum):
    """Whether copies of a request may be sent to targets."""

    # Not running at any crash, or completed too often to be the cause.
    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


_NO_RECORD = CrashRecord(Fingerprint(b''))


def count_completions(record):
    """Return the number of completions in a record."""
    return sum(count for _, count in record.completions)


def judge(record):
    """Return the verdict on the evidence in a record.

    A popular request is running at many crashes by chance, but its other
    copies are completed meanwhile.

    Parameters
    ----------
    record : CrashRecord
        The evidence.

    Returns
    -------
    Verdict
    """
    crash_count = len(record.crashes)
    if not crash_count or (
        count_completions(record) > COMPLETIONS_PER_CRASH * crash_count
    ):
        return Verdict.CLEAR
    if crash_count < CRASHES_UNTIL_QUARANTINE:
        return Verdict.SUSPECT
    return Verdict.QUARANTINED


def merge_records(one, other):
    """Return the union of two records of the same request.

    Parameters
    ----------
    one, other : CrashRecord
        Records with the same fingerprint.

    Returns
    -------
    CrashRecord
    """
    if one.generation != other.generation:
        return max(one, other, key=lambda record: record.generation)
    completions = dict(one.completions)
    for node_id, count in other.completions:
        completions[node_id] = max(count, completions.get(node_id, 0))
    # Two nodes may tell of the same crash; the lower entry is kept by all.
    crashes = {}
    for crash in sorted((*one.crashes, *other.crashes)):
        crashes.setdefault((crash.target_id, crash.incarnation), crash)
    return replace(
        one,
        crashes=tuple(crashes.values())[:MAX_CRASHES_LISTED],
        completions=tuple(sorted(completions.items())),
        summary=max(one.summary, other.summary),
    )


class CrashLedger:
    """Records of the requests that were running when targets crashed.

    Each process keeps all records. They are merged in any order, so that no
    process needs to lead, and a process that has lost its records gets them
    back from any other.

    Parameters
    ----------
    on_change : callable or None
        Called after a change.

    Attributes
    ----------
    epoch : str
        Random identifier of this ledger. Versions of different epochs cannot
        be compared.
    version : int
        Incremented with each change.
    records : OrderedDict of Fingerprint to CrashRecord
        Records in the order of their last change. Beyond ``MAX_RECORDS``,
        those that do not lead to a quarantine are evicted first.
    verdicts : dict of Fingerprint to Verdict
        Verdicts on the records.
    refusal_count : int
        Number of requests refused because of a quarantine.
    """

    def __init__(self, on_change=None):
        self.on_change = on_change
        self.epoch = uuid4().hex[:EPOCH_CHARS]
        self.version = 0
        self.records = OrderedDict()
        self.verdicts = {}
        self.refusal_count = 0
        self._versions = {}
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until a record changes."""
        await self._changed.wait()

    def get_verdict(self, fingerprint):
        """Return the verdict on a request."""
        return self.verdicts.get(fingerprint, Verdict.CLEAR)

    def count_crashes(self, fingerprint):
        """Return the number of targets that crashed under a request."""
        return len(self.records.get(fingerprint, _NO_RECORD).crashes)

    def count_verdicts(self):
        """Return the number of records by verdict."""
        counts = dict.fromkeys(Verdict, 0)
        for verdict in self.verdicts.values():
            counts[verdict] += 1
        return counts

    def record_crash(self, fingerprint, crash, summary):
        """Record that a request was running when a target crashed.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        crash : TargetCrash
            The crash.
        summary : str
            Description of the request for operators.
        """
        known = self.records.get(fingerprint, _NO_RECORD)
        record = CrashRecord(
            fingerprint, known.generation, (crash,), summary=summary
        )
        self.merge((record,), is_own=True)

    def record_completion(self, fingerprint, node_id):
        """Record that a target beside a node completed a watched request."""
        known = self.records.get(fingerprint)
        if known is None or count_completions(known) >= MAX_COMPLETIONS:
            return
        count = dict(known.completions).get(node_id, 0)
        completions = ((node_id, count + 1),)
        self.merge((replace(known, completions=completions),), is_own=True)

    def lift(self, fingerprint):
        """Discard the evidence on a request.

        Returns
        -------
        bool
            Whether there was any.
        """
        known = self.records.get(fingerprint)
        if known is None or not known.crashes:
            return False
        log_event(
            QUARANTINE_LIFTED,
            fingerprint=fingerprint.hex(),
            summary=known.summary,
        )
        lifted = CrashRecord(
            fingerprint, known.generation + 1, summary=known.summary
        )
        self.merge((lifted,))
        return True

    def merge(self, records, is_own=False):
        """Merge records of this or another process.

        Parameters
        ----------
        records : iterable of CrashRecord
            Records to merge.
        is_own : bool
            Whether this process has observed what is new in them.

        Returns
        -------
        bool
            Whether any record changed.
        """
        version = self.version
        for record in records:
            self._merge_record(record, is_own)
        while len(self.records) > MAX_RECORDS:
            self._evict()
        if self.version == version:
            return False
        self._changed.set()
        self._changed = trio.Event()
        if self.on_change is not None:
            self.on_change()
        return True

    def update_since(self, epoch, version):
        """Return the changes since a version, or None if there are none.

        Parameters
        ----------
        epoch, version : str, int
            Epoch and version that the receiver has.

        Returns
        -------
        CrashUpdate or None
        """
        since = version if epoch == self.epoch else 0
        if since >= self.version:
            return None
        return CrashUpdate(self.epoch, self.version, self.list_changes(since))

    def list_changes(self, since):
        """Return the records that changed after a version of this ledger."""
        changed = []
        for fingerprint in reversed(self.records):
            if self._versions[fingerprint] <= since:
                break
            changed.append(self.records[fingerprint])
        return tuple(changed)

    def _merge_record(self, record, is_own):
        fingerprint = record.fingerprint
        known = self.records.get(fingerprint)
        merged = merge_records(known, record) if known else record
        if merged == known:
            return
        self.version += 1
        self._versions[fingerprint] = self.version
        self.records[fingerprint] = merged
        self.records.move_to_end(fingerprint)
        verdict = judge(merged)
        previous = self.get_verdict(fingerprint)
        self.verdicts[fingerprint] = verdict
        if verdict is not previous and (
            is_own or Verdict.QUARANTINED in (verdict, previous)
        ):
            _log_verdict(verdict, merged)

    def _evict(self):
        """Drop the record that changed longest ago, quarantined ones last."""
        fingerprint = next(
            (
                fingerprint
                for fingerprint in self.records
                if self.verdicts[fingerprint] is not Verdict.QUARANTINED
            ),
            next(iter(self.records)),
        )
        for known in (self.records, self.verdicts, self._versions):
            del known[fingerprint]


def _log_verdict(verdict, record):
    # The detector logs suspects together with the ids of the requests.
    if not record.crashes or verdict is Verdict.SUSPECT:
        return
    is_quarantined = verdict is Verdict.QUARANTINED
    log_event(
        REQUEST_QUARANTINED if is_quarantined else REQUEST_CLEARED,
        fingerprint=record.fingerprint.hex(),
        summary=record.summary,
        crashes=len(record.crashes),
        targets=[crash.target_id for crash in record.crashes],
        completions=count_completions(record),
    )
