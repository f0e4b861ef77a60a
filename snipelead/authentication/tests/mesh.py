"""Nodes with leases on the in-memory network of the controls' tests."""

import trio

from snipelead.authentication.authenticator import Authenticator
from snipelead.authentication.client import LeaseClient
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import NodeNotReadyError
from snipelead.callers.protocol import CallerOptions
from snipelead.controls.tests.mesh import CONTROL_TIMINGS
from snipelead.controls.tests.mesh import NODE_TIMINGS
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.document import Customer
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.testing.source import FakeSource

REVOCATION_MS = 5_000
KEY = 'k-old'
ZONES = ('a', 'b', 'c')
ROUTE = Route('reads', 'stock')


def make_release(number, *keys):
    """Return a release in which one customer has some keys."""
    return Release(
        number,
        {'stock': Service('stock')},
        {'reads': ROUTE},
        {AUTHENTICATION_SETTING: Setting(AUTHENTICATION_SETTING, True)},
        {'acme': Customer('acme', keys)},
    )


class LeasingNode:
    """Node of the mesh that authenticates requests under leases."""

    def __init__(self, node):
        self.node = node
        self.authenticator = Authenticator(node.holder, REVOCATION_MS)
        self.client = LeaseClient(
            node.client.links, self.authenticator.leases, REVOCATION_MS
        )

    @classmethod
    async def start(cls, mesh, index=0, zone='a'):
        node = cls(await mesh.start_node(index, zone, timings=NODE_TIMINGS))
        mesh.nursery.start_soon(node.client.run)
        return node

    def try_key(self, key=KEY):
        """Return the code of the refusal of a key, '' if it is accepted."""
        if self.node.number == 0:
            return NodeNotReadyError.code
        options = CallerOptions(api_key=key.encode())
        try:
            customer = self.authenticator.authenticate(
                ROUTE, options, key_count=1, is_newest=True
            )
            self.authenticator.authorize(customer).check()
        except CallError as error:
            return error.code
        return ''


async def start_controls(mesh):
    """Start a control in each zone; return the source that all share."""
    source = FakeSource()
    source.publish(make_release(1, KEY))
    for index, _ in enumerate(mesh.peers):
        await mesh.start_control(index, source, timings=CONTROL_TIMINGS)
    return source


def suspend(seconds):
    """Let time pass during which no task runs, as if suspended."""
    trio.lowlevel.current_clock().jump(seconds)
