"""Small deployment of the real programs for the scripts of a review.

Controls and nodes are started with the commands of the deploy file and the
templates of their settings, each on a loopback address of its own. Backends,
clients and the operator are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
from pathlib import Path
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = Path(__file__).resolve().parent.parent
HELD, BROKEN, UNABLE = 0, 1, 2
DEFAULT_BOUNDS = {
    'grace': '6s',
    'retry-budget-ratio': 0.2,
    'budget-extra': 64,
}
LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 67108864,
    'header-timeout': '3000ms',
    'idle-timeout': '15000ms',
}
HEALTH_PATH = '/health'
ACK_LIMIT_S = 1.0
CONNECT_LIMIT_S = 1.0
# A backend sends its answers in parts of this size.
PART_BYTES = 64 * 1024


def has_trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines of what was sent, answered and run, with the time of each."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text('')
        self.started_at = time.monotonic()

    def write(self, *words):
        """Write one line."""
        elapsed_s = time.monotonic() - self.started_at
        with self.path.open('a') as file:
            file.write(f'{elapsed_s:9.3f} {" ".join(map(str, words))}\n')


def render(template, fields):
    """Fill the placeholders of a template of settings."""

    def replace(match):
        value = fields
        for key in match[1].split('.'):
            value = value.get(key) if isinstance(value, dict) else None
        return '' if value is None else json.dumps(value)

    return re.sub(r'\{\{([\w.-]+)\|json\}\}', replace, template)


class Program:
    """One process of the system, started as the deploy file tells."""

    def __init__(self, name, template, fields, directory):
        self.name = name
        self.template = (REPOSITORY / template).read_text()
        self.fields = fields
        self.settings_path = directory / f'{name}.conf'
        self.log_path = directory / f'{name}.log'
        self.popen = None

    def start(self):
        """Start the process with the settings in effect."""
        self.settings_path.write_text(render(self.template, self.fields))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                (
                    *(sys.executable, '-m', 'snipelead.platform'),
                    *('--settings', str(self.settings_path)),
                ),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


class Fleet:
    """Controls and nodes of one deployment; ends them on exit."""

    def __init__(self, record, services, controls=3, bounds=None):
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix='review-'))
        self.bounds = DEFAULT_BOUNDS | (bounds or {})
        self._choose_addresses()
        self.seeds = [
            self.address(number, 0) for number in range(1, controls + 1)
        ]
        self.controls = [self._make_control(n + 1) for n in range(controls)]
        self.nodes = [
            self._make_node(n, controls + 1 + n, service)
            for n, service in enumerate(services)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for program in (*self.nodes, *self.controls):
            program.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _choose_addresses(self):
        rng = random.SystemRandom()
        while True:
            self.network = f'127.{rng.randrange(1, 250)}.{rng.randrange(250)}'
            self.first_port = rng.randrange(10_000, 30_000)
            with socket.socket() as sock:
                try:
                    sock.bind((f'{self.network}.1', self.first_port))
                except OSError:
                    continue
            return

    def address(self, host, offset):
        """Return an address on one of the machines."""
        return f'{self.network}.{host}:{self.first_port + offset}'

    def _internal_ports(self):
        return [self.first_port + 10, self.first_port + 25]

    def _make_control(self, host):
        fields = {
            'ip': f'{self.network}.{host}',
            'zone': f'zone-{host % 3}',
            'region': 'region',
            'listen': {'control': self.address(host, 0)},
            'internal-ports': self._internal_ports(),
            'data-dir': str(self.directory / f'data-{host}'),
            'seeds': self.seeds,
            'bootstrap': True,
            'bounds': self.bounds,
        }
        return Program(
            f'control-{host}', 'deploy/control.yaml', fields, self.directory
        )

    def _make_node(self, number, host, service):
        fields = {
            'node': f'node-{number}',
            'zone': f'zone-{host % 3}',
            'region': 'region',
            'service': service,
            'listen': {
                'outbound': self.address(host, 1),
                'inbound': self.address(host, 2),
                'ready': self.address(host, 3),
                'control': self.address(host, 4),
            },
            'seeds': self.seeds,
            'internal-ports': self._internal_ports(),
            'heartbeat': '1500ms',
            'bounds': self.bounds,
        }
        node = Program(
            f'node-{number}', 'deploy/node.yaml', fields, self.directory
        )
        node.outbound = fields['listen']['outbound']
        node.report = fields['listen']['control']
        node.ready = fields['listen']['ready']
        node.app_address = self.address(host, 5)
        return node

    def start(self):
        """Start all processes; only this start may found the cluster."""
        for program in (*self.controls, *self.nodes):
            program.start()
        self.end_bootstrap()

    def end_bootstrap(self):
        """Let later starts of controls have ``bootstrap`` set to false."""
        for control in self.controls:
            control.fields['bootstrap'] = False

    async def wait_ready(self, nodes=None, limit_s=20.0):
        """Return whether the nodes are ready within a time."""
        deadline = time.monotonic() + limit_s
        for node in self.nodes if nodes is None else nodes:
            while (await call(node.ready, 'GET', '/ready'))[0] != 200:
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True


async def read_head(reader):
    """Return the start line and the header fields of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    start, *lines = data.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_body(reader, fields, until_end=False):
    """Return the body of a message."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return await reader.read() if until_end else b''


def encode_request(method, path, fields, body=b''):
    """Encode a request with a length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def exchange(reader, writer, data):
    """Send a request; return status, fields and body of the response."""
    writer.write(data)
    await writer.drain()
    while True:
        start, fields = await read_head(reader)
        status = int(start.split()[1])
        if status >= 200:
            body = await read_body(reader, fields, until_end=True)
            return status, fields, body


async def open_connection(address):
    """Open a connection to an address."""
    host, _, port = address.rpartition(':')
    return await asyncio.wait_for(
        asyncio.open_connection(host, int(port)), CONNECT_LIMIT_S
    )


async def call(address, method, path, fields=None, body=b'', limit_s=3.0):
    """Make one call on a new connection.

    Returns
    -------
    tuple
        Status, header fields and body; the status is 0 if no whole response
        came in time.
    """
    writer = None
    try:
        reader, writer = await open_connection(address)
        data = encode_request(
            method, path, {'Host': address, **(fields or {})}, body
        )
        return await asyncio.wait_for(exchange(reader, writer, data), limit_s)
    except (TimeoutError, OSError, EOFError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class Backend:
    """Backend beside a node, which sends check-ins and serves requests.

    Attributes
    ----------
    runs : list of tuple
        Time, attempt id, path and header fields of the requests that ran.
    answer : callable
        Takes the path and the header fields of a request and returns the
        status and the duration of its work.
    make_body : callable
        Takes the path and the attempt id of a request and returns the body of
        its answer.
    pause_s : float
        Pause after each part of a long answer.
    """

    def __init__(self, record, node, backend_id, version='v1', slots=18):
        self.record = record
        self.node = node
        self.backend_id = backend_id
        self.service = node.fields['service']
        self.version = version
        self.slots = slots
        self.running = 0
        self.runs = []
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.answer = lambda path, fields: (200, 0.02)
        self.make_body = lambda path, attempt: attempt.encode()
        self.pause_s = 0.0
        self.server = None
        self.tasks = []

    async def start(self):
        """Listen, and send check-ins from now on."""
        host, _, port = self.node.app_address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.tasks.append(asyncio.create_task(self._send_check_ins()))

    async def stop(self):
        """End at once, without a word."""
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def check_in(self):
        """Send one check-in; return whether it is acknowledged."""
        self.sequence += 1
        body = {
            'address': self.node.app_address,
            'info': {
                'service': self.service,
                'version': self.version,
                'zone': self.node.fields['zone'],
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.sequence,
                'cold-remaining': '0ms',
            },
            'born': self.born,
        }
        status, _, _ = await call(
            self.node.report,
            'PUT',
            f'/instances/{self.backend_id}',
            {'Content-Type': 'application/json'},
            json.dumps(body).encode(),
            ACK_LIMIT_S,
        )
        return 200 <= status < 300

    async def _send_check_ins(self):
        while True:
            acknowledged = await self.check_in()
            await asyncio.sleep(1.5 if acknowledged else 0.5)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.append(task)
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path, _ = start.split()
                data = await self._respond(method, path, fields, body)
                for start in range(0, len(data), PART_BYTES):
                    writer.write(data[start : start + PART_BYTES])
                    await writer.drain()
                    if self.pause_s and len(data) > PART_BYTES:
                        await asyncio.sleep(self.pause_s)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The connection or the backend has ended.
            pass
        finally:
            self.tasks.remove(task)
            writer.close()

    async def _respond(self, method, path, fields, body):
        if path == HEALTH_PATH:
            status = 200 if self.state == 'ready' else 503
            return _encode_response(
                status, {'Instance-Id': self.backend_id}, b'{}'
            )
        attempt = fields.get('attempt-id', '')
        echo = {'Attempt-Id': attempt}
        if fields.get('expect-instance', self.backend_id) != self.backend_id:
            return _encode_response(421, echo)
        if not attempt:
            return _encode_response(400, {'Not-Executed': '1'})
        if self.running >= self.slots:
            return _encode_response(503, echo | {'Not-Executed': '1'})
        self.running += 1
        self.runs.append((time.monotonic(), attempt, path, fields))
        self.record.write('run', self.backend_id, attempt, path)
        try:
            status, work_s = self.answer(path, fields)
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        return _encode_response(
            status,
            echo | {'Response-Seal': f'seal-{attempt}'},
            self.make_body(path, attempt),
        )


def _encode_response(status, fields, body=b''):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Client:
    """Sends requests to nodes and records what comes back."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.count = 0
        self.prefix = f'{random.SystemRandom().randrange(16**8):08x}'

    def make_attempt_id(self):
        """Return a new attempt id."""
        self.count += 1
        return f'{self.prefix}{self.count:08x}'

    async def send(self, node, path, method='GET', limit_ms=2000, **fields):
        """Send one request on a new connection.

        Returns
        -------
        tuple
            Attempt id, status, header fields and body.
        """
        attempt = self.make_attempt_id()
        self.record.write('send', node.name, attempt, method, path)
        status, reply_fields, body = await call(
            node.outbound,
            method,
            path,
            {
                'Host': self.host,
                'Attempt-Id': attempt,
                'Deadline-Ms': str(limit_ms),
                **{k.replace('_', '-'): v for k, v in fields.items()},
            },
            limit_s=limit_ms / 1000 + 0.5,
        )
        self.record.write('answer', attempt, status)
        return attempt, status, reply_fields, body


class Operator:
    """Sends orders to the controls until there is a clear answer."""

    def __init__(self, record, addresses):
        self.record = record
        self.addresses = list(addresses)
        self.version = 0

    def make_configuration(self, routes, services, tenants=None, host='a'):
        """Return a configuration on top of the newest one."""
        configuration = {
            'version': f'{self.version + 1:08x}',
            'base-version': f'{self.version:08x}',
            'services': [
                {
                    'name': name,
                    'health-path': HEALTH_PATH,
                    'max-connections': 130,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': LIMITS,
            'virtual-hosts': [{'host': host, 'paths': routes}],
        }
        if tenants is not None:
            configuration['tenants'] = tenants
        return configuration

    async def put(self, configuration, limit_s=15.0):
        """Send a configuration; return the final status, 0 for none."""
        status = await self.order('PUT', '/config', configuration, limit_s)
        if status == 200:
            self.version = int(configuration['version'], 16)
        return status

    async def order(self, method, path, document, limit_s=15.0):
        """Send an order to one control after another."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + limit_s
        pause_s = 0.1
        while True:
            for address in self.addresses:
                self.record.write('order', address, method, path, document)
                status, _, reply = await call(
                    address,
                    method,
                    path,
                    {'Content-Type': 'application/json'},
                    body,
                    1.0,
                )
                self.record.write('order answer', status, reply)
                if status in (200, 400, 409, 412, 413, 422):
                    return status
            if time.monotonic() > deadline:
                return 0
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)


def make_route(name, prefix, service, kind='safe', **values):
    """Return a route of a configuration."""
    return {
        'name': name,
        'path-prefix': prefix,
        'kind': kind,
        'timeout': '2000ms',
        'target-latency': '800ms',
        'priority': 1,
        'max-attempts': 2,
        'service': service,
        **{k.replace('_', '-'): v for k, v in values.items()},
    }


def run_case(directory, main):
    """Run a case with its record; exit with its result."""
    record = Record(Path(directory) / 'record.txt')
    record.write('trouble', has_trouble())
    try:
        result = asyncio.run(asyncio.wait_for(main(record), 110))
    except (TimeoutError, OSError) as error:
        record.write('the case could not run:', repr(error))
        result = UNABLE
    record.write('exit', result)
    sys.exit(result)
