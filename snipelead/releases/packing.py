"""Compressed encoding of releases and deltas for transfer."""

import msgspec
import zstandard

from snipelead.releases.checks import check_release
from snipelead.releases.delta import Delta
from snipelead.releases.document import Release
from snipelead.releases.exceptions import DigestMismatchError
from snipelead.utils.decoding import decode_msgpack

__all__ = ['pack', 'unpack_delta', 'unpack_release']

COMPRESSION_LEVEL = 6
# Larger frames are rejected by their header, before memory is allocated.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024


def pack(value):
    """Encode a release or delta as zstd-compressed msgpack.

    Parameters
    ----------
    value : Release or Delta
        Value to encode.

    Returns
    -------
    bytes
    """
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(msgspec.msgpack.encode(value))


def _unpack(packed, value_type):
    try:
        size_bytes = zstandard.get_frame_parameters(packed).content_size
        if not 0 <= size_bytes <= MAX_UNPACKED_BYTES:
            raise DigestMismatchError(
                f'packed data declares a size of {size_bytes} bytes, which is'
                ' not allowed'
            )
        unpacked = zstandard.ZstdDecompressor().decompress(packed)
        return decode_msgpack(unpacked, type=value_type)
    except (zstandard.ZstdError, msgspec.DecodeError) as error:
        raise DigestMismatchError(
            f'packed data cannot be decoded: {error}'
        ) from error


def unpack_delta(packed):
    """Decode a packed delta.

    Parameters
    ----------
    packed : bytes
        Result of :func:`pack`.

    Returns
    -------
    Delta

    Raises
    ------
    DigestMismatchError
        If the bytes are not a packed delta.
    """
    return _unpack(packed, Delta)


def unpack_release(packed, expected):
    """Decode a packed release and verify its identity.

    Parameters
    ----------
    packed : bytes
        Result of :func:`pack`.
    expected : ReleaseId
        Announced identity of the release.

    Returns
    -------
    Release
        The release, validated.

    Raises
    ------
    DigestMismatchError
        If the bytes are not the announced release.
    DanglingReferenceError
        If a route refers to a service or setting that the release lacks.
    InvalidNoteError
        If the release contains a value that is not allowed.
    """
    release = _unpack(packed, Release)
    if release.release_id != expected:
        raise DigestMismatchError(
            'the packed release is not the announced release',
            got=release.release_id,
            target=expected,
        )
    check_release(release)
    return release
