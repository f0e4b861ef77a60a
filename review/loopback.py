"""Small deployment of the real processes on loopback addresses.

The controls and nodes are started with the commands and the templates of
``deploy/``. Operators, clients and back ends are stand-ins that follow the
users' pages. Only the standard library is used.
"""

import asyncio
from contextlib import suppress
from itertools import count
import json
import os
from pathlib import Path
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = Path(__file__).resolve().parent.parent
HOST = 'mesh.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 67_108_864,
    'header-timeout': '3000ms',
    'idle-timeout': '15000ms',
}
BOUNDS = {
    'grace': '6s',
    'retry-budget-ratio': 0.2,
    'budget-extra': 64,
}
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0
POLL_S = 0.05
READY_TIMEOUT_S = 40.0
SEAL = 'Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1'
# Offsets from the first port of a deployment; those for internal use follow.
PORTS = {'ready': 0, 'control': 1, 'app': 2, 'inbound': 3, 'outbound': 4}
INTERNAL_PORTS = (5, 20)
FIRST_PORTS = range(10_000, 30_000)
MAX_TRIES = 100
_PLACEHOLDER = re.compile(r'\{\{([a-z_.-]+)\|json\}\}')
_HEAD_END = b'\r\n\r\n'
_REASONS = {200: 'OK', 421: 'Misdirected Request', 500: 'Internal Error'}


class Record:
    """Log of what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File that is written.
    """

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = path.open('w')

    def write(self, text):
        """Write one line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f'{elapsed_s:8.3f}  {text}\n')
        self.file.flush()


def render(template, fields):
    """Fill a template of the deploy folder in, as the platform does.

    Parameters
    ----------
    template : str
        Text with placeholders such as ``{{listen.control|json}}``.
    fields : dict of str to object
        Values by field name; fields that are missing become null.

    Returns
    -------
    str
    """
    return _PLACEHOLDER.sub(
        lambda match: json.dumps(fields.get(match[1])), template
    )


def split_address(address):
    """Return host and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class Machine:
    """One process of the system.

    Parameters
    ----------
    name : str
        Name of the machine.
    role : str
        ``node`` or ``control``, which names the template.
    fields : dict of str to object
        Settings that the platform provides.
    directory : Path
        Folder of the settings file and the log.
    """

    def __init__(self, name, role, fields, directory):
        self.name = name
        self.role = role
        self.fields = fields
        self.settings_path = directory / f'{name}.conf'
        self.log_path = directory / f'{name}.log'
        self.process = None

    def start(self):
        """Write the settings and start the process."""
        template = (ROOT / 'deploy' / f'{self.role}.yaml').read_text()
        self.settings_path.write_text(render(template, self.fields))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                (
                    *('python3', '-m', 'snipelead.platform'),
                    *('--settings', str(self.settings_path)),
                ),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def find_log_line(self, text):
        """Return the last line of the process that contains a text, or ''."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return next((line for line in reversed(lines) if text in line), '')

    def listen(self, name):
        """Return host and port of a listening address."""
        return split_address(self.fields[f'listen.{name}'])


class Deployment:
    """Three controls and some nodes; a context manager that ends them.

    Parameters
    ----------
    services : sequence of str
        Service of the back end beside each node.
    bounds : dict of str to object or None
        Further bounds of the deployment.
    """

    def __init__(self, services, bounds=None):
        self.temporary = tempfile.TemporaryDirectory(prefix='mesh-')
        self.directory = Path(self.temporary.name)
        self.network, self.first_port = self._find_network()
        self.bounds = {**BOUNDS, **(bounds or {})}
        hosts = [f'{self.network}.{n}' for n in range(1, 4)]
        self.seeds = [self._address(host, 'control') for host in hosts]
        self.controls = [
            self._make_control(number, host)
            for number, host in enumerate(hosts)
        ]
        self.nodes = [
            self.make_node(number, service)
            for number, service in enumerate(services)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for machine in (*self.controls, *self.nodes):
            machine.kill()
        self.temporary.cleanup()

    @staticmethod
    def _find_network():
        """Return a loopback network and a first port that are free."""
        rng = random.SystemRandom()
        for _ in range(MAX_TRIES):
            network = f'127.{rng.randint(1, 250)}.{rng.randint(1, 250)}'
            first_port = rng.choice(FIRST_PORTS)
            with suppress(OSError):
                for port in range(first_port, first_port + INTERNAL_PORTS[1]):
                    with socket.socket() as sock:
                        sock.bind((f'{network}.1', port))
                return network, first_port
        raise OSError('no free ports were found')

    def _address(self, host, name):
        return f'{host}:{self.first_port + PORTS[name]}'

    def _common_fields(self, host, number):
        return {
            'ip': host,
            'zone': ZONES[number % len(ZONES)],
            'region': 'region',
            'seeds': self.seeds,
            'internal-ports': [self.first_port + n for n in INTERNAL_PORTS],
            'heartbeat': f'{HEARTBEAT_S * 1_000:.0f}ms',
            'listen.control': self._address(host, 'control'),
            **{f'bounds.{name}': v for name, v in self.bounds.items()},
        }

    def _make_control(self, number, host):
        name = f'core-{number}'
        fields = {
            **self._common_fields(host, number),
            'data-dir': str(self.directory / name),
            'bootstrap': True,
        }
        return Machine(name, 'control', fields, self.directory)

    def make_node(self, number, service, name=None):
        """Return the node at the address with a number."""
        host = f'{self.network}.{11 + number}'
        name = name or f'sidecar-{number}'
        fields = {
            **self._common_fields(host, number),
            'node': name,
            'service': service,
            'app-addr': self._address(host, 'app'),
            'listen.ready': self._address(host, 'ready'),
            'listen.inbound': self._address(host, 'inbound'),
            'listen.outbound': self._address(host, 'outbound'),
        }
        return Machine(name, 'node', fields, self.directory)

    def start(self):
        """Start all processes; only the first start may found a cluster."""
        for machine in (*self.controls, *self.nodes):
            machine.start()
        for control in self.controls:
            control.fields['bootstrap'] = False

    async def wait_ready(self):
        """Wait until all nodes say that they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                await wait_for_status(node.listen('ready'), '/ready', 200)

    async def wait_founded(self):
        """Wait until all controls tell that there is no configuration."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for control in self.controls:
                await wait_for_status(
                    control.listen('control'), '/config', 404
                )

    async def submit(self, record, document):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        for attempt in count():
            if attempt > READY_TIMEOUT_S:
                raise TimeoutError('the configuration is not acknowledged')
            control = self.controls[attempt % len(self.controls)]
            status = await fetch(
                control.listen('control'), 'PUT', '/config', body
            )
            record.write(
                f'operator: PUT /config {document["version"]} to'
                f' {control.name}: {status}'
            )
            if status == 200:
                return
            await asyncio.sleep(1.0)


def make_route(name, service, kind='safe', **options):
    """Return a route of a configuration, with ``/name/`` as its prefix."""
    return {
        'name': name,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout': '8000ms',
        'target-latency': '4000ms',
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        **options,
    }


def make_configuration(number, base, routes, services):
    """Return a complete configuration."""
    return {
        'version': f'{number:08x}',
        'base-version': f'{base:08x}',
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-connections': 130,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': LIMITS,
        'virtual-hosts': [{'host': HOST, 'paths': routes}],
    }


async def fetch(address, method, path, body=b''):
    """Make one call on a new connection.

    Returns
    -------
    int or None
        Status of the response; None if there was none in time.
    """
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}'
    )
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + _HEAD_END + body)
                status, _, _ = await read_response(reader)
                return status
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError):
        return None


async def wait_for_status(address, path, status):
    """Wait until a call is answered with a status."""
    while await fetch(address, 'GET', path) != status:
        await asyncio.sleep(POLL_S)


async def read_head(reader):
    """Return the start line and the header fields of a message."""
    head = await reader.readuntil(_HEAD_END)
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return start, fields


async def read_response(reader):
    """Return status, header fields and body of the next final response.

    Raises
    ------
    EOFError, OSError
        If the connection ended before the end of the response.
    """
    while True:
        start, fields = await read_head(reader)
        status = int(start.split()[1])
        if status >= 200:
            break
    if fields.get('transfer-encoding') == 'chunked':
        return status, fields, await _read_chunks(reader)
    length = int(fields.get('content-length', '0'))
    return status, fields, await reader.readexactly(length)


async def _read_chunks(reader):
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
    return body


def encode_request(method, path, attempt_id, body=b'', deadline_ms=8_000):
    """Return a request of a client."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {attempt_id}',
        f'Deadline-Ms: {deadline_ms}',
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + _HEAD_END + body


def encode_answer(status, fields=(), body=b''):
    """Return a response of a back end with its length."""
    lines = [
        f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}',
        *fields,
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join(lines).encode() + _HEAD_END + body


def encode_success(attempt_id, body):
    """Return the response of a back end that ran a request."""
    return encode_answer(200, (f'Attempt-Id: {attempt_id}', SEAL), body)


class Backend:
    """Back end beside one node; it checks in until it is cancelled.

    Parameters
    ----------
    node : Machine
        Its node.
    instance_id : str
        Id of the back end.
    record : Record
        Receives the requests that it gets.
    respond : callable
        Coroutine function of the back end, the connection's state (a dict),
        the writer, the path and the attempt id; sends the answer.
    slots : int
        Requests that it runs at a time, as it tells.

    Attributes
    ----------
    runs : list of str
        Attempt ids of the requests that it ran.
    run_times : list of float
        When it began to run them, on the monotonic clock.
    caller_services : dict of str to str
        Caller-Service of the requests that arrived, by attempt id.
    checks_in : bool
        Whether it checks in by itself.
    is_leaving : bool
        Whether its health check says that it is leaving.
    wrong_health_answers : list of bytes
        Sent in the place of its next answers to health checks.
    answers, spoiled : int
        Number of answers that it sent, and of those that were not valid.
    """

    def __init__(self, node, instance_id, record, respond, slots=8):
        self.node = node
        self.service = node.fields['service']
        self.zone = node.fields['zone']
        self.instance_id = instance_id
        self.record = record
        self.respond = respond
        self.slots = slots
        self.born_ms = int(time.time() * 1_000)
        self.sequence = count(1)
        self.runs = []
        self.run_times = []
        self.caller_services = {}
        self.checks_in = True
        self.is_leaving = False
        self.wrong_health_answers = []
        self.answers = 0
        self.spoiled = 0
        self.address = split_address(node.fields['app-addr'])

    def run_request(self, attempt_id, path):
        """Take note that a request runs."""
        self.runs.append(attempt_id)
        self.run_times.append(time.monotonic())
        self.record.write(f'{self.instance_id}: runs {attempt_id} {path}')

    async def serve(self):
        """Serve requests and check in, until cancelled."""
        server = await asyncio.start_server(self._accept, *self.address)
        async with server:
            while True:
                if self.checks_in:
                    await self.check_in()
                await asyncio.sleep(HEARTBEAT_S)

    async def check_in(self, state='ready'):
        """Send one check-in; return the status of the answer."""
        return await self.send_check_in(self.encode_check_in(state))

    def encode_check_in(self, state='ready'):
        """Return the body of the next check-in."""
        body = {
            'address': '{}:{}'.format(*self.address),
            'born': self.born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'seq': next(self.sequence),
                'cold-remaining': '0ms',
            },
        }
        return json.dumps(body).encode()

    async def send_check_in(self, body):
        """Send the body of a check-in; return the status of the answer."""
        path = f'/instances/{self.instance_id}'
        return await fetch(self.node.listen('control'), 'PUT', path, body)

    async def withdraw(self):
        """Tell the node that the back end is gone; return the status."""
        path = f'/instances/{self.instance_id}'
        return await fetch(self.node.listen('control'), 'DELETE', path)

    async def _accept(self, reader, writer):
        state = {}
        try:
            # The tasks of open connections are cancelled at the end.
            with suppress(OSError, EOFError, asyncio.CancelledError):
                while not writer.is_closing():
                    await self._serve_request(reader, writer, state)
        finally:
            writer.close()

    async def _serve_request(self, reader, writer, state):
        start, fields = await read_head(reader)
        path = start.split()[1]
        if fields.get('transfer-encoding') == 'chunked':
            await _read_chunks(reader)
        else:
            await reader.readexactly(int(fields.get('content-length', '0')))
        self.answers += 1
        if path == '/health' and self.wrong_health_answers:
            self.spoiled += 1
            self.record.write(f'{self.instance_id}: spoils a health answer')
            writer.write(self.wrong_health_answers.pop(0))
        elif path == '/health':
            field = f'Instance-Id: {self.instance_id}'
            status = 503 if self.is_leaving else 200
            writer.write(encode_answer(status, (field,)))
        elif fields.get('expect-instance') != self.instance_id:
            field = f'Instance-Id: {self.instance_id}'
            writer.write(encode_answer(421, (field,)))
        else:
            attempt_id = fields.get('attempt-id', '')
            self.caller_services[attempt_id] = fields.get('caller-service')
            await self.respond(self, state, writer, path, attempt_id)
        await writer.drain()


def run_case(case, directory):
    """Run a case and exit with its result.

    Parameters
    ----------
    case : callable
        Coroutine function of the record and whether there is a disruption;
        returns whether the rule was broken.
    directory : Path
        Folder of the case.
    """
    record = Record(directory / 'record.txt')
    has_trouble = os.environ.get('TROUBLE') != '0'
    record.write(f'TROUBLE={int(has_trouble)}')
    try:
        is_broken = asyncio.run(case(record, has_trouble))
    except Exception as error:
        # An error of the stand-ins must not be taken for a broken rule.
        record.write(f'the case could not run: {error!r}')
        traceback.print_exc()
        sys.exit(2)
    record.write('the rule is broken' if is_broken else 'the rule holds')
    sys.exit(1 if is_broken else 0)
