"""Which message answers which request."""

__all__ = ['REPLY_TYPES', 'register_reply']

REPLY_TYPES: dict[type, type] = {}


def register_reply(request_type, reply_type):
    """Declare which message answers a request."""
    REPLY_TYPES[request_type] = reply_type
