"""RPC channels to the other voters."""

from contextlib import AsyncExitStack

from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.types import ControlRole
from snipelead.voters.notifier import Notifier

__all__ = ['PeerChannels', 'voting_peers']


def voting_peers(settings):
    """Return the peers in the settings that vote, including this control.

    Parameters
    ----------
    settings : ControlSettings
        Settings of any control.

    Returns
    -------
    list of Peer
    """
    return [p for p in settings.peers if p.role is ControlRole.VOTER]


class PeerChannels:
    """One RPC channel to each other known voter.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this control.
    transport : Transport
        Opens the channels.

    Attributes
    ----------
    channels : dict of ControlId to Channel
        Channels to the voters in the settings and to members added later.
    channel_added : Notifier
        A channel was added.
    """

    def __init__(self, settings, transport):
        self.settings = settings
        self.transport = transport
        self.channels = {}
        self.channel_added = Notifier()

    async def __aenter__(self):
        for peer in voting_peers(self.settings):
            self._add_channel(peer.control_id, peer.address)
        return self

    async def __aexit__(self, *exc_info):
        async with AsyncExitStack() as stack:
            for channel in self.channels.values():
                await stack.enter_async_context(channel)

    def _add_channel(self, control_id, address):
        if control_id in self.channels:
            return False
        if control_id == self.settings.control_id:
            return False
        self.channels[control_id] = self.transport.connect(address)
        return True

    def add_members(self, members):
        """Open channels to members that have none yet."""
        added = [
            self._add_channel(member.control_id, member.address)
            for member in members
            if member.address
        ]
        if any(added):
            self.channel_added.notify()

    def add_peers(self, peers):
        """Open channels to peers of changed settings that have none yet."""
        added = [
            self._add_channel(peer.control_id, peer.address) for peer in peers
        ]
        if any(added):
            self.channel_added.notify()

    @property
    def control_ids(self):
        """Controls that there are channels to."""
        return list(self.channels)

    async def call(self, control_id, request, timeout_s):
        """Call a procedure of another voter.

        Raises
        ------
        SnipeleadError
            As :meth:`~snipelead.rpc.base.Channel.call`.
        """
        channel = self.channels.get(control_id)
        if channel is None:
            raise RpcUnreachableError(
                f'there is no channel to control {control_id!r}'
            )
        return await channel.call(request, timeout_s)
