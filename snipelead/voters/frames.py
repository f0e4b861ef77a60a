"""Checksummed frames, the format of the files in a data directory.

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
    """Return the frame of a payload: header, then payload."""
    plain = FRAME_MAGIC + struct.pack('<I', len(payload))
    header = _HEADER.pack(FRAME_MAGIC, len(payload), crc32c(plain))
    return header + _CHECKSUM.pack(crc32c(payload)) + payload


def _unpack_at(data, offset):
    """Return (payload, end offset) of a frame, or None if it is damaged."""
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
    """Decode the frames of an append-only file.

    Each append writes one frame and syncs it before the next one is written,
    so a crash can leave only the last frame incomplete. A damaged frame that
    is followed by a valid one is therefore reported as corruption.

    Parameters
    ----------
    data : bytes
        Contents of the file.
    name : str
        Name of the file, for error messages.

    Returns
    -------
    payloads : list of bytes
        Payloads in file order.
    size : int
        Size of the valid prefix in bytes; the rest is a torn tail.

    Raises
    ------
    CorruptStorageError
        If a damaged frame is followed by a valid one.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        frame = _unpack_at(data, offset)
        if frame is None:
            if _has_frame_after(data, offset):
                raise CorruptStorageError(
                    f'{name} has a damaged frame at byte {offset}',
                    file=name,
                    offset=offset,
                )
            break
        payload, offset = frame
        payloads.append(payload)
    return payloads, offset


def unpack_frame(data, name):
    """Decode a file that holds a single frame and is replaced as a whole.

    Raises
    ------
    CorruptStorageError
        If the file is not exactly one valid frame.
    """
    frame = _unpack_at(data, 0)
    if frame is None or frame[1] != len(data):
        raise CorruptStorageError(
            f'{name} is not a valid frame', file=name, offset=0
        )
    return frame[0]
