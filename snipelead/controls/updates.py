"""Deltas and snapshots that bring a node to the newest release."""

from collections import OrderedDict

import msgspec
from msgspec import Struct

from snipelead.messages import Snapshot
from snipelead.messages import SyncReply
from snipelead.releases.delta import make_delta
from snipelead.releases.packing import pack

__all__ = ['UpdateBuilder']

MAX_CACHED_DELTAS = 256
# Smaller deltas do not gain enough from compression to offset the overhead of
# the frame.
MIN_PACKED_BYTES = 256


class _CachedDelta(Struct, frozen=True):
    """Cached reply with a delta, or None if the snapshot is not larger."""

    reply: SyncReply | None


class UpdateBuilder:
    """Builds deltas and snapshots and caches them.

    Parameters
    ----------
    source : ReleaseSource
        Provides the base releases of deltas.
    """

    def __init__(self, source):
        self.source = source
        self._snapshot = None
        self._deltas = OrderedDict()

    def snapshot(self, release):
        """Return the snapshot of a release, cached until the next release."""
        if (
            self._snapshot is None
            or self._snapshot.target != release.release_id
        ):
            self._snapshot = Snapshot(release.release_id, pack(release))
        return self._snapshot

    def delta_reply(self, held, release):
        """Return a reply with a net delta between two releases.

        Parameters
        ----------
        held : ReleaseId
            Release that the receiver holds.
        release : Release
            Release that the delta produces.

        Returns
        -------
        SyncReply or None
            None if the base is not available or the snapshot is not larger
            than the delta.
        """
        key = (held, release.release_id)
        cached = self._deltas.get(key)
        if cached is None:
            cached = self._make_delta(held, release)
            if cached is None:
                return None
            self._deltas[key] = cached
            if len(self._deltas) > MAX_CACHED_DELTAS:
                self._deltas.popitem(last=False)
        return cached.reply

    def _make_delta(self, held, release):
        """Build a delta, or return None if its base is not available."""
        base = self.source.find_by_digest(held.digest)
        if base is None or base.release_id != held:
            return None
        delta = make_delta(base, release)
        plain_bytes = len(msgspec.msgpack.encode(delta))
        packed = b''
        if plain_bytes > MIN_PACKED_BYTES:
            packed = pack(delta)
        size = min(len(packed) or plain_bytes, plain_bytes)
        if size >= len(self.snapshot(release).compressed):
            return _CachedDelta(None)
        if packed and len(packed) < plain_bytes:
            return _CachedDelta(SyncReply(compressed_delta=packed))
        return _CachedDelta(SyncReply(delta=delta))
