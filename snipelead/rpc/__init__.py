"""Remote procedure calls between the processes of the system."""

from snipelead.rpc.base import Channel
from snipelead.rpc.base import Handlers
from snipelead.rpc.base import Transport

__all__ = ['Channel', 'Handlers', 'Transport']
