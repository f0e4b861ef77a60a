"""Decoding of messages from other processes."""

from functools import wraps

import msgspec

__all__ = ['decode_json', 'decode_msgpack', 'limit_nesting']


def limit_nesting(decode):
    """Make a decoder raise its usual error for a message nested too deeply.

    Parameters
    ----------
    decode : callable
        Function of msgspec that decodes bytes. It raises RecursionError,
        which is not a ``msgspec.DecodeError``, also for nested values in the
        place of fields that it ignores.

    Returns
    -------
    callable
        Takes the same parameters.
    """

    @wraps(decode)
    def decode_limited(data, **options):
        try:
            return decode(data, **options)
        except RecursionError as error:
            raise msgspec.DecodeError(
                'the message is nested too deeply'
            ) from error

    return decode_limited


decode_json = limit_nesting(msgspec.json.decode)
decode_msgpack = limit_nesting(msgspec.msgpack.decode)
