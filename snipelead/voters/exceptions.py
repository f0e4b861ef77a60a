"""Errors raised by voters."""

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import SnipeleadError

__all__ = [
    'ClaimsFullError',
    'CorruptStorageError',
    'DataDirInUseError',
    'MemberReplacedError',
    'NotLeaderError',
    'WrongMemberError',
    'NoteReusedError',
    'QuorumLostError',
    'StorageWriteError',
    'VoterBusyError',
    'VoterNotRunningError',
    'WrongClusterError',
    'WrongDataDirError',
]


class NotLeaderError(SnipeleadError):
    """The voter is not the leader; nothing was appended to the log."""

    code = 'SL1001'


class WrongMemberError(SnipeleadError):
    """The message is addressed to another member of this control.

    That member is the identity of an earlier data directory, for instance of
    one that was lost with its disk.
    """

    code = 'SL1002'


class WrongClusterError(SnipeleadError):
    """The message comes from another cluster, founded separately."""

    code = 'SL1003'


class CorruptStorageError(SnipeleadError):
    """A file in the data directory is corrupt; the voter does not start."""

    code = 'SL1004'


class StorageWriteError(SnipeleadError):
    """A write to the data directory failed; the voter has stopped."""

    code = 'SL1005'


class DataDirInUseError(SnipeleadError):
    """Another process has locked the data directory."""

    code = 'SL1006'


class NoteReusedError(SnipeleadError):
    """The note id was already used for a note with different contents."""

    code = 'SL1007'


class ClaimsFullError(SnipeleadError):
    """The table of claims is full until older ones expire; nothing claimed."""

    code = 'SL1008'


class MemberReplacedError(SnipeleadError):
    """Another member replaced this one; its data directory is obsolete."""

    code = 'SL1009'


class QuorumLostError(NoQuorumError):
    """A majority of the voters lost their disks; the command had no effect."""

    code = 'SL1010'


class WrongDataDirError(SnipeleadError):
    """The data directory belongs to another control."""

    code = 'SL1011'


class VoterBusyError(SnipeleadError):
    """Too many commands are pending; nothing was appended to the log."""

    code = 'SL1012'


class VoterNotRunningError(SnipeleadError):
    """The voter has not started yet or has stopped; nothing was changed."""

    code = 'SL1013'
