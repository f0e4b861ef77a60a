"""Generate the settings files of the example deployments.

Run ``python examples/generate.py`` after a change here and commit the
generated files. All addresses are loopback addresses, so that a whole
deployment can be started on one machine. The deployments use different ports.
"""

from dataclasses import dataclass
from pathlib import Path

import yaml

__all__ = ['DEPLOYMENTS', 'Deployment', 'make_settings', 'write_settings']

EXAMPLES_DIR = Path(__file__).resolve().parent
HOST = '127.0.0.1'
ZONE_COUNT = 3
# Each control, and each node with its target, has a range of ten ports.
PORT_RANGE_SIZE = 10


@dataclass(frozen=True)
class Deployment:
    """An example deployment.

    Parameters
    ----------
    name : str
        Name of the deployment and of its directory.
    region : str
        Region; its availability zones are numbered from 1.
    first_port : int
        Lowest port of the deployment.
    preference : str
        Preference of the controls when they distribute releases.
    services : dict of str to int
        Number of targets by service.
    slots, connections : int
        Limits of each target.
    """

    name: str
    region: str
    first_port: int
    preference: str
    services: dict
    slots: int
    connections: int


DEPLOYMENTS = (
    Deployment(
        'dozators',
        'lv-riga',
        7_100,
        'convergence',
        {'contracts': 5, 'stock': 7},
        20,
        130,
    ),
    Deployment(
        'feriasoft',
        'uy-sur',
        7_500,
        'bytes',
        {'cobranza': 4, 'padron-ferias': 4},
        6,
        110,
    ),
)


def _format_address(port):
    return f'{HOST}:{port}'


def _zone_name(deployment, index):
    return f'{deployment.region}-{index % ZONE_COUNT + 1}'


def _make_peers(deployment):
    peers = []
    for index in range(ZONE_COUNT):
        port = deployment.first_port + PORT_RANGE_SIZE * (index + 1)
        peers.append(
            {
                'control_id': f'control-{"abc"[index]}',
                'zone': _zone_name(deployment, index),
                'address': _format_address(port),
                'operator_address': _format_address(port + 1),
                'role': 'voter',
            }
        )
    return peers


def _make_control(deployment, peer):
    return {
        'kind': 'control',
        'control_id': peer['control_id'],
        'region': deployment.region,
        'zone': peer['zone'],
        'address': peer['address'],
        'operator_address': peer['operator_address'],
        'data_dir': f'data/{deployment.name}/{peer["control_id"]}',
        'preference': deployment.preference,
        'peers': _make_peers(deployment),
        'log': {'format': 'console'},
    }


def _make_node(deployment, name, zone, port):
    return {
        'kind': 'node',
        'node_id': f'node-{name}',
        'region': deployment.region,
        'zone': zone,
        'caller_address': _format_address(port),
        'address': _format_address(port + 1),
        'admin_address': _format_address(port + 2),
        'controls': _make_peers(deployment),
        'log': {'format': 'console'},
    }


def _make_target(deployment, service, name, port):
    return {
        'kind': 'target',
        'target_id': name,
        'service': service,
        'address': _format_address(port + 3),
        'node_admin_address': _format_address(port + 2),
        'slots': deployment.slots,
        'connections': deployment.connections,
        'log': {'format': 'console'},
    }


def make_settings(deployment):
    """Return the settings of all processes of a deployment by file name."""
    settings = {}
    for peer in _make_peers(deployment):
        settings[f'{peer["control_id"]}.yaml'] = _make_control(
            deployment, peer
        )
    index = 0
    for service, count in deployment.services.items():
        for number in range(1, count + 1):
            name = f'{service}-{number}'
            zone = _zone_name(deployment, index)
            port = deployment.first_port + PORT_RANGE_SIZE * (index + 10)
            settings[f'node-{name}.yaml'] = _make_node(
                deployment, name, zone, port
            )
            settings[f'target-{name}.yaml'] = _make_target(
                deployment, service, name, port
            )
            index += 1
    return settings


def write_settings(deployment):
    """Write the settings files of a deployment into its directory."""
    directory = EXAMPLES_DIR / deployment.name
    directory.mkdir(exist_ok=True)
    for file_name, settings in make_settings(deployment).items():
        text = yaml.safe_dump(settings, sort_keys=False)
        (directory / file_name).write_text(text)


if __name__ == '__main__':
    for deployment in DEPLOYMENTS:
        write_settings(deployment)
