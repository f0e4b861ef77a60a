"""Deterministic state machine that is driven by the replicated log."""

from collections import OrderedDict

import msgspec
from msgspec import Struct
from msgspec.structs import astuple
import xxhash
import zstandard

from snipelead.controls.exceptions import OutcomeForgottenError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import Rollout
from snipelead.messages import SubmitReply
from snipelead.releases.delta import apply_delta
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Release
from snipelead.releases.document import ReleaseId
from snipelead.releases.exceptions import BaseNotCurrentError
from snipelead.releases.exceptions import ReleaseNumberInUseError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.releases.note_application import apply_note
from snipelead.rollouts.state import Rollouts
from snipelead.types import LogIndex
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.types import ReleaseNumber
from snipelead.voters.claims import ClaimRecord
from snipelead.voters.claims import Claims
from snipelead.voters.exceptions import NoteReusedError
from snipelead.voters.history import History
from snipelead.voters.history import PastRelease
from snipelead.voters.messages import AdvanceRollout
from snipelead.voters.messages import Claim
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import decode_command
from snipelead.voters.messages import Replace
from snipelead.voters.messages import Settle
from snipelead.voters.messages import StartRollout
from snipelead.voters.messages import Submit

__all__ = ['NoteOutcome', 'State']

MAX_NOTE_OUTCOMES = 10_000
# Covers six days at 8,400 replacements a day, at about 50 bytes each.
MAX_REPLACEMENTS = 50_000
# Recorded in the history for a release that no note created: a replacement.
NO_NOTE_ID = NoteId('')
COMPRESSION_LEVEL = 1

_encode = msgspec.msgpack.encode


class NoteOutcome(Struct, frozen=True, array_like=True):
    """First outcome of a note.

    Parameters
    ----------
    note_id : NoteId
        Id of the note.
    note_digest : str
        Digest of the note's contents.
    reply : SubmitReply
        Reply to the note and to each resend of it.
    """

    note_id: NoteId
    note_digest: str
    reply: SubmitReply


class AcceptedReplacement(Struct, frozen=True, array_like=True):
    """Accepted release that replaced the previous one as a whole.

    Parameters
    ----------
    held : ReleaseId
        Number and digest of the release.
    base : ReleaseNumber
        Number of the release that it replaced.
    """

    held: ReleaseId
    base: ReleaseNumber


class _StateRecord(Struct, frozen=True, array_like=True):
    """Encoded form of :class:`State`."""

    log_time_ms: int
    configuration: Configuration
    current: Release
    past: list[PastRelease]
    outcomes: list[NoteOutcome]
    claims: list[ClaimRecord]
    forgotten_note_release: ReleaseNumber = ReleaseNumber(0)
    replacements: list[AcceptedReplacement] = []
    forgotten_replacement_release: ReleaseNumber = ReleaseNumber(0)
    rollouts: list[Rollout] = []
    rollouts_version: LogIndex = LogIndex(0)


class State:
    """Releases, outcomes of notes, claims and membership.

    Attributes
    ----------
    configuration : Configuration
        Newest applied configuration.
    log_time_ms : int
        Log time in ms: the latest time of an applied entry.
    history : History
        Newest release and recent ones.
    note_outcomes : OrderedDict of NoteId to NoteOutcome
        Outcomes of notes, oldest first; at most ``MAX_NOTE_OUTCOMES``.
    forgotten_note_release : ReleaseNumber
        Newest accepted release whose note was dropped from ``note_outcomes``.
    claims : Claims
        Claims of requests that may not be repeated.
    replacements : OrderedDict of ReleaseNumber to AcceptedReplacement
        Accepted replacements, oldest first; at most
        ``MAX_REPLACEMENTS``.
    forgotten_replacement_release : ReleaseNumber
        Newest release that was dropped from ``replacements``.
    rollouts : Rollouts
        Newest rollout of each service.
    """

    def __init__(self, configuration=None):
        self.configuration = configuration or Configuration()
        self.log_time_ms = 0
        self.history = History()
        self.note_outcomes = OrderedDict()
        self.forgotten_note_release = ReleaseNumber(0)
        self.claims = Claims()
        self.replacements = OrderedDict()
        self.forgotten_replacement_release = ReleaseNumber(0)
        self.rollouts = Rollouts()

    @property
    def current(self):
        """Newest accepted release."""
        return self.history.current

    def apply(self, entry):
        """Apply a committed entry.

        Returns
        -------
        SubmitReply, ClaimReply, SettleReply, SnipeleadError or None
            Result for the proposer; None for an entry without a command.

        Raises
        ------
        InvariantError
            If a release number would not increase or a claim would be
            granted twice.
        """
        self.log_time_ms = max(self.log_time_ms, entry.log_time_ms)
        if entry.configuration is not None:
            self.configuration = entry.configuration
        if not entry.command:
            return None
        match decode_command(entry.command):
            case Submit(note):
                return self._submit(note)
            case Claim(request):
                return self._claim(request)
            case Settle(request):
                return self.claims.settle(request, self.log_time_ms)
            case Replace():
                return self._replace(decode_command(entry.command))
            case StartRollout() as command:
                return self.rollouts.start(
                    command, entry.index, self.log_time_ms
                )
            case AdvanceRollout() as command:
                return self.rollouts.advance(command, entry.index)

    def _claim(self, request):
        try:
            return self.claims.claim(request, self.log_time_ms)
        except InvariantError:
            raise
        except SnipeleadError as error:
            return error

    def _submit(self, note):
        note_digest = _digest_note(note)
        recorded = self.note_outcomes.get(note.note)
        if recorded is not None:
            if recorded.note_digest == note_digest:
                return recorded.reply
            return _make_refusal(
                NoteReusedError(
                    f'note {note.note!r} was already submitted with different'
                    ' contents',
                    note=note.note,
                )
            )
        if self._may_be_forgotten(note):
            return OutcomeForgottenError(
                f'note {note.note!r} may have been accepted as release'
                f' {note.release}, whose outcome is no longer recorded',
                current=self.current.number,
            )
        reply = self._decide_note(note)
        self.note_outcomes[note.note] = NoteOutcome(
            note.note, note_digest, reply
        )
        if len(self.note_outcomes) > MAX_NOTE_OUTCOMES:
            self._forget_oldest()
        return reply

    def _replace(self, command):
        """Replace the release, or confirm an earlier acceptance."""
        held = command.held
        replacement = AcceptedReplacement(held, command.base)
        if self.replacements.get(held.number) == replacement:
            return SubmitReply(OutcomeKind.ACCEPTED, held)
        if held.number <= self.forgotten_replacement_release:
            return OutcomeForgottenError(
                f'release {held.number} may have been accepted, but its'
                ' outcome is no longer recorded',
                current=self.current.number,
            )
        try:
            release = self._build_replacement(command)
        except SnipeleadError as error:
            return _make_refusal(error)
        self.history.push(release, NO_NOTE_ID)
        self.replacements[held.number] = replacement
        if len(self.replacements) > MAX_REPLACEMENTS:
            self.forgotten_replacement_release, _ = self.replacements.popitem(
                last=False
            )
        return SubmitReply(OutcomeKind.ACCEPTED, held)

    def _build_replacement(self, command):
        current, held = self.current, command.held
        if held.number <= current.number:
            raise ReleaseNumberTooLowError(
                f'release {held.number} is not above the current release'
                f' {current.number}',
                current=current.number,
            )
        if command.base != current.number or command.delta is None:
            raise BaseNotCurrentError(
                f'release {held.number} is based on release {command.base},'
                f' but the current release is {current.number}',
                current=current.number,
            )
        return apply_delta(current, command.delta)

    def _may_be_forgotten(self, note):
        """Return whether a note without outcome may have been accepted."""
        accepted_note_id = self.history.note_of_release(note.release)
        return note.release <= self.forgotten_note_release and (
            accepted_note_id in (None, note.note)
        )

    def _forget_oldest(self):
        _, oldest = self.note_outcomes.popitem(last=False)
        if oldest.reply.held is not None:
            self.forgotten_note_release = oldest.reply.held.number

    def _decide_note(self, note):
        accepted_note_id = self.history.note_of_release(note.release)
        if accepted_note_id is not None:
            return _make_refusal(
                ReleaseNumberInUseError(
                    f'release number {note.release} was taken by note'
                    f' {accepted_note_id!r}',
                    winner=accepted_note_id,
                    current=self.current.number,
                )
            )
        try:
            release = apply_note(self.current, note)
        except SnipeleadError as error:
            return _make_refusal(error)
        if release.number <= self.current.number:
            raise InvariantError(
                f'release number {release.number} is not above the current'
                f' number {self.current.number}'
            )
        self.history.push(release, note.note)
        return SubmitReply(OutcomeKind.ACCEPTED, release.release_id)

    def encode(self):
        """Return the state as compressed bytes."""
        record = _StateRecord(
            self.log_time_ms,
            self.configuration,
            self.current,
            self.history.past,
            list(self.note_outcomes.values()),
            list(self.claims.records.values()),
            self.forgotten_note_release,
            list(self.replacements.values()),
            self.forgotten_replacement_release,
            list(self.rollouts.by_service.values()),
            self.rollouts.version,
        )
        compressor = zstandard.ZstdCompressor(COMPRESSION_LEVEL)
        return compressor.compress(_encode(record))

    @classmethod
    def decode(cls, data):
        """Return the state that :meth:`encode` encoded."""
        packed = zstandard.ZstdDecompressor().decompress(data)
        record = msgspec.msgpack.decode(packed, type=_StateRecord)
        state = cls(record.configuration)
        state.log_time_ms = record.log_time_ms
        # EMPTY_RELEASE is used itself, since its digest is cached.
        current = record.current if record.current.number else EMPTY_RELEASE
        state.history = History(current, record.past)
        state.note_outcomes.update((o.note_id, o) for o in record.outcomes)
        state.claims = Claims(record.claims)
        state.forgotten_note_release = record.forgotten_note_release
        state.replacements.update(
            (o.held.number, o) for o in record.replacements
        )
        state.forgotten_replacement_release = (
            record.forgotten_replacement_release
        )
        state.rollouts = Rollouts(record.rollouts, record.rollouts_version)
        return state


def _digest_note(note):
    """Return the digest of a note; equal notes have equal digests."""
    changes = [
        (c.action, *map(_field_values, (c.service, c.route, c.setting)))
        for c in note.changes
    ]
    packed = _encode((note.release, note.note, changes))
    return xxhash.xxh3_128_hexdigest(packed)


def _field_values(value):
    # All fields are listed: whether the encoder omits a default depends on
    # the identity of the object, so equal values could be encoded
    # differently.
    return astuple(value) if isinstance(value, Struct) else value


def _make_refusal(error):
    return SubmitReply(
        OutcomeKind.REFUSED, None, error.code, error.message, error.details
    )
