"""Control and node processes with the default HTTP and gRPC interfaces."""

import trio

from snipelead.callers.call_path import DEFAULT_PROTOCOLS
from snipelead.daemons.control import ControlDaemon
from snipelead.daemons.node import NodeDaemon
from snipelead.daemons.process import run_process
from snipelead.operators.app import make_operator_app
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.targets.app import make_target_app
from snipelead.utils.http import serve_app

__all__ = [
    'DefaultControlFrontend',
    'DefaultNodeFrontend',
    'make_control',
    'make_node',
    'run_control',
    'run_node',
]


class DefaultNodeFrontend:
    """Default interfaces of a node: protocols and admin interface."""

    protocols = DEFAULT_PROTOCOLS

    def is_known_service(self, service):
        """Return whether targets of a service are accepted; always True."""
        return True

    async def run(self, daemon, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the admin address until cancelled."""
        app = make_target_app(
            daemon.local_targets, daemon.metrics, daemon.status
        )
        address = daemon.settings.admin_address
        async with trio.open_nursery() as nursery:
            bound_addresses = await nursery.start(serve_app, app, address)
            task_status.started(bound_addresses)


class DefaultControlFrontend:
    """Default operator interface of a control."""

    async def run(self, daemon, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the operator address until ``stop`` is set."""
        app = make_operator_app(daemon.service, daemon.source, daemon.metrics)
        address = daemon.settings.operator_address
        async with trio.open_nursery() as nursery:
            bound_addresses = await nursery.start(
                serve_app, app, address, stop
            )
            task_status.started(bound_addresses)


def make_node(settings, transport):
    """Return a node with the default interfaces."""
    return NodeDaemon(settings, transport, DefaultNodeFrontend())


def make_control(settings, transport):
    """Return a control with the default interfaces."""
    return ControlDaemon(settings, transport, DefaultControlFrontend())


async def run_node(settings):
    """Run a node process until SIGTERM or SIGINT."""
    await run_process(
        make_node, settings, open_grpc_transport, node=settings.node_id
    )


async def run_control(settings):
    """Run a control process until SIGTERM or SIGINT."""
    await run_process(
        make_control,
        settings,
        open_grpc_transport,
        control=settings.control_id,
    )
