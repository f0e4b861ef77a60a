"""Submission of release notes, their outcomes, and certification."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.releases.document import Release
from snipelead.releases.document import ReleaseId
from snipelead.releases.note import ReleaseNote
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.types import ReleaseNumber

__all__ = [
    'CertifyReply',
    'CertifyRequest',
    'OutcomesReply',
    'OutcomesRequest',
    'ReplaceRequest',
    'SubmitReply',
    'SubmitRequest',
]


class SubmitRequest(Struct, frozen=True):
    """Request to apply a release note.

    Any control process accepts it and forwards it to the leader.
    """

    note: ReleaseNote


class SubmitReply(Struct, frozen=True, omit_defaults=True):
    """Durable outcome of a release note.

    Parameters
    ----------
    outcome : OutcomeKind
        ACCEPTED or REFUSED; the same for each retransmission of the note.
    held : ReleaseId or None
        Release that the note created, None if refused.
    code, message : str
        Error code and message if refused.
    details : dict of str to str
        Details of the refusal, such as the note that took the release
        number.
    """

    outcome: OutcomeKind
    held: ReleaseId | None = None
    code: str = ''
    message: str = ''
    details: dict[str, str] = {}


class ReplaceRequest(Struct, frozen=True):
    """Request to replace the current release by a complete new one.

    Parameters
    ----------
    base : ReleaseNumber
        Number that the current release must have.
    release : Release
        New release.
    """

    base: ReleaseNumber
    release: Release


class CertifyRequest(Struct, frozen=True):
    """Request that a voter confirms the newest release with a majority."""


class CertifyReply(Struct, frozen=True):
    """Reply to a request for certification.

    Parameters
    ----------
    held : ReleaseId
        Newest release that the voter holds.
    certified : bool
        Whether ``held`` was the newest accepted release at some time after
        the request arrived.
    """

    held: ReleaseId
    certified: bool


class OutcomesRequest(Struct, frozen=True):
    """Request for the durable outcomes of recent release notes."""


class OutcomesReply(Struct, frozen=True):
    """Durable outcomes by id of the release note."""

    outcomes: dict[NoteId, SubmitReply]


register_reply(SubmitRequest, SubmitReply)
register_reply(ReplaceRequest, SubmitReply)
register_reply(CertifyRequest, CertifyReply)
register_reply(OutcomesRequest, OutcomesReply)
