"""Checksummed frames of the files in a data folder.

A frame is a header and a payload. The header holds a magic number, the
length of the payload, a checksum of both and a checksum of the payload.
"""

import struct

from google_crc32c import value as crc32c

from snipelead.voters.exceptions import CorruptStorageError

__all__ = ['pack_frame', 'unpack_frame', 'unpack_frames']

FRAME_MAGIC = b'SLR1'
_HEADER = struct.Struct('<4sII')
_CHECKSUM = struct.Struct('<I')
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


def pack_frame(payload):
    """Return a payload with its header."""
    plain = FRAME_MAGIC + struct.pack('<I', len(payload))
    header = _HEADER.pack(FRAME_MAGIC, len(payload), crc32c(plain))
    return header + _CHECKSUM.pack(crc32c(payload)) + payload


def _unpack_at(data, offset):
    """Return (payload, end) of the frame at an offset, or None if damaged."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    if magic != FRAME_MAGIC or checksum != crc32c(data[offset : offset + 8]):
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    (expected,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    if len(payload) < length or crc32c(payload) != expected:
        return None
    return payload, start + length


def _has_frame_after(data, offset):
    found = data.find(FRAME_MAGIC, offset + 1)
    while found >= 0:
        if _unpack_at(data, found) is not None:
            return True
        found = data.find(FRAME_MAGIC, found + 1)
    return False


def unpack_frames(data, name):
    """Read the frames of a file that is appended to.

    One append is one frame, and each is synced before the next one is
    written; so only the last frame of a file can be incomplete. A damaged
    frame that a sound one follows is therefore corruption.

    Parameters
    ----------
    data : bytes
        Contents of the file.
    name : str
        Name of the file, for the error.

    Returns
    -------
    payloads : list of bytes
        Payloads in order.
    size : int
        Size of the sound part in bytes; what follows is a torn tail.

    Raises
    ------
    CorruptStorageError
        If a frame before the last one is damaged.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        frame = _unpack_at(data, offset)
        if frame is None:
            if _has_frame_after(data, offset):
                raise CorruptStorageError(
                    f'{name}: the frame at byte {offset} is damaged',
                    file=name,
                    offset=offset,
                )
            break
        payload, offset = frame
        payloads.append(payload)
    return payloads, offset


def unpack_frame(data, name):
    """Return the payload of a file that is only replaced as a whole.

    Raises
    ------
    CorruptStorageError
        If the file does not consist of one sound frame.
    """
    frame = _unpack_at(data, 0)
    if frame is None or frame[1] != len(data):
        raise CorruptStorageError(f'{name} is damaged', file=name, offset=0)
    return frame[0]
