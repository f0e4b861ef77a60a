"""Runs a node on the platform."""

from functools import partial

from snipelead.daemons.node import NodeDaemon
from snipelead.daemons.process import run_process
from snipelead.platform.frontend import PlatformNodeFrontend
from snipelead.platform.settings import load_platform_settings
from snipelead.rpc.stream import open_stream_transport

__all__ = ['run_platform_node']


async def run_platform_node(settings, path):
    """Run a node until it is asked to stop.

    Parameters
    ----------
    settings : PlatformNodeSettings
        Settings of the node.
    path : str
        Settings file; read again when it changes or on SIGHUP.
    """
    frontend = PlatformNodeFrontend(settings)
    await run_process(
        partial(NodeDaemon, frontend=frontend),
        settings.to_settings(),
        open_stream_transport,
        lambda: load_platform_settings(path).to_settings(),
        path,
        node=settings.node_id,
    )
