"""Registry of the reply type of each request type."""

__all__ = ['REPLY_TYPES', 'register_reply']

REPLY_TYPES: dict[type, type] = {}


def register_reply(request_type, reply_type):
    """Register the reply type of a request type.

    Parameters
    ----------
    request_type, reply_type : type
        Subclasses of :class:`msgspec.Struct`.
    """
    REPLY_TYPES[request_type] = reply_type
