"""Errors of voters."""

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import SnipeleadError

__all__ = [
    'ClaimsFullError',
    'CorruptStorageError',
    'FolderInUseError',
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
    """The voter is not the leader; it appended nothing."""

    code = 'SL1001'


class WrongMemberError(SnipeleadError):
    """The message was meant for another member id, such as a lost disk's."""

    code = 'SL1002'


class WrongClusterError(SnipeleadError):
    """The message comes from a cluster that was founded separately."""

    code = 'SL1003'


class CorruptStorageError(SnipeleadError):
    """A file of the data folder is damaged; the voter does not start."""

    code = 'SL1004'


class StorageWriteError(SnipeleadError):
    """A write to the data folder failed; the voter has stopped voting."""

    code = 'SL1005'


class FolderInUseError(SnipeleadError):
    """Another process uses the data folder."""

    code = 'SL1006'


class NoteReusedError(SnipeleadError):
    """The id of the note belongs to a note with other contents."""

    code = 'SL1007'


class ClaimsFullError(SnipeleadError):
    """No claim can be kept until older ones expire; nothing was claimed."""

    code = 'SL1008'


class MemberReplacedError(SnipeleadError):
    """Another member has taken this one's place; its folder is obsolete."""

    code = 'SL1009'


class QuorumLostError(NoQuorumError):
    """A majority of the voters lost their disks; nothing took effect."""

    code = 'SL1010'


class WrongDataDirError(SnipeleadError):
    """The data folder belongs to another control."""

    code = 'SL1011'


class VoterBusyError(SnipeleadError):
    """The leader has too many commands to write; it appended nothing."""

    code = 'SL1012'


class VoterNotRunningError(SnipeleadError):
    """The voter has not started yet or has stopped; it changed nothing."""

    code = 'SL1013'
