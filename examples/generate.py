"""Write the example settings of both deployments.

Run ``python examples/generate.py`` after a change here and commit the
files. All addresses are on loopback, so that a whole deployment can be
started on one machine; the ports of the two deployments differ.
"""

from dataclasses import dataclass
from pathlib import Path

import yaml

__all__ = ['DEPLOYMENTS', 'Deployment', 'make_settings', 'write_settings']

EXAMPLES = Path(__file__).resolve().parent
HOST = '127.0.0.1'
ZONES = 3
# Each process has ten ports to itself.
PORT_STEP = 10


@dataclass(frozen=True)
class Deployment:
    """A deployment of the system.

    Attributes
    ----------
    name : str
        Name of the folder.
    region : str
        Region; its availability zones are numbered from 1.
    first_port : int
        Ports of this deployment start here.
    preference : str
        What is weighed more when releases are distributed.
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


def _address(port):
    return f'{HOST}:{port}'


def _zone(deployment, index):
    return f'{deployment.region}-{index % ZONES + 1}'


def _peers(deployment):
    peers = []
    for index in range(ZONES):
        port = deployment.first_port + PORT_STEP * (index + 1)
        peers.append(
            {
                'control_id': f'control-{"abc"[index]}',
                'zone': _zone(deployment, index),
                'address': _address(port),
                'operator_address': _address(port + 1),
                'role': 'voter',
            }
        )
    return peers


def _control(deployment, peer):
    return {
        'kind': 'control',
        'control_id': peer['control_id'],
        'region': deployment.region,
        'zone': peer['zone'],
        'address': peer['address'],
        'operator_address': peer['operator_address'],
        'data_dir': f'data/{deployment.name}/{peer["control_id"]}',
        'preference': deployment.preference,
        'peers': _peers(deployment),
        'log': {'format': 'console'},
    }


def _node(deployment, name, zone, port):
    return {
        'kind': 'node',
        'node_id': f'node-{name}',
        'region': deployment.region,
        'zone': zone,
        'caller_address': _address(port),
        'address': _address(port + 1),
        'admin_address': _address(port + 2),
        'controls': _peers(deployment),
        'log': {'format': 'console'},
    }


def _target(deployment, service, name, port):
    return {
        'kind': 'target',
        'target_id': name,
        'service': service,
        'address': _address(port + 3),
        'node_admin_address': _address(port + 2),
        'slots': deployment.slots,
        'connections': deployment.connections,
        'log': {'format': 'console'},
    }


def make_settings(deployment):
    """Return the settings documents of a deployment by file name."""
    settings = {}
    for peer in _peers(deployment):
        settings[f'{peer["control_id"]}.yaml'] = _control(deployment, peer)
    index = 0
    for service, count in deployment.services.items():
        for number in range(1, count + 1):
            name = f'{service}-{number}'
            zone = _zone(deployment, index)
            port = deployment.first_port + PORT_STEP * (index + 10)
            settings[f'node-{name}.yaml'] = _node(deployment, name, zone, port)
            settings[f'target-{name}.yaml'] = _target(
                deployment, service, name, port
            )
            index += 1
    return settings


def write_settings(deployment):
    """Write the settings of a deployment into its folder."""
    folder = EXAMPLES / deployment.name
    folder.mkdir(exist_ok=True)
    for file_name, document in make_settings(deployment).items():
        text = yaml.safe_dump(document, sort_keys=False)
        (folder / file_name).write_text(text)


if __name__ == '__main__':
    for one in DEPLOYMENTS:
        write_settings(one)
