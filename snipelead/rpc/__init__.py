"""Calls between the system's own processes, behind one small interface."""

from snipelead.rpc.base import Channel
from snipelead.rpc.base import Handlers
from snipelead.rpc.base import Transport

__all__ = ['Channel', 'Handlers', 'Transport']
