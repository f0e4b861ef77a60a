"""Compressed wire forms of releases and deltas."""

import msgspec
import zstandard

from snipelead.releases.checks import check_release
from snipelead.releases.delta import Delta
from snipelead.releases.document import Release
from snipelead.releases.exceptions import DigestMismatchError

__all__ = ['pack', 'unpack_delta', 'unpack_release']

COMPRESSION_LEVEL = 6
# A frame that claims more is refused before memory is set aside for it.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024


def pack(value):
    """Return a release or delta as zstd-compressed msgpack."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    return compressor.compress(msgspec.msgpack.encode(value))


def _unpack(packed, kind):
    try:
        size = zstandard.get_frame_parameters(packed).content_size
        if not 0 <= size <= MAX_UNPACKED_BYTES:
            raise DigestMismatchError(f'packed data claims {size} bytes')
        plain = zstandard.ZstdDecompressor().decompress(packed)
        return msgspec.msgpack.decode(plain, type=kind)
    except (zstandard.ZstdError, msgspec.DecodeError) as error:
        raise DigestMismatchError(
            f'packed data cannot be read: {error}'
        ) from error


def unpack_delta(packed):
    """Read a packed delta.

    Raises
    ------
    DigestMismatchError
        If the bytes are not a packed delta.
    """
    return _unpack(packed, Delta)


def unpack_release(packed, target):
    """Read a packed release and compare its identity.

    Parameters
    ----------
    packed : bytes
        Result of :func:`pack`.
    target : Held
        Identity that was announced.

    Raises
    ------
    DigestMismatchError
        If the bytes are not the announced release.
    DanglingReferenceError
        If the release is not whole.
    """
    release = _unpack(packed, Release)
    if release.held != target:
        raise DigestMismatchError(
            'the snapshot is not the announced release',
            got=release.held,
            target=target,
        )
    check_release(release)
    return release
