"""A small deployment of the real programs, with stand-ins around them.

The controls and nodes run as separate processes, with the command and the
templates of the deploy file. The targets, clients and the operator are small
stand-ins in this process. Each machine has a loopback address of its own.
"""

import asyncio
from contextlib import suppress
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
import threading
import time
import tomllib

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The ports of each machine.
INBOUND, OUTBOUND, READY, CONTROL, APP, INTERNAL, METRICS = range(7)
START_S = 20.0
HEARTBEAT_S = 0.87
ZONES = ('zone-a', 'zone-b', 'zone-c')
NO_BODY = b''
CHUNKED = 'Transfer-Encoding: chunked'


class CannotRunError(Exception):
    """The case cannot run here, or its deployment does not start."""


class Record:
    """Lines about what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File that the lines are written to.
    """

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = path.open('w')

    def write(self, text):
        """Write a line with the time since the start."""
        age_s = time.monotonic() - self.started_at
        self.file.write(f'{age_s:9.3f} {text}\n')
        self.file.flush()

    def say(self, text):
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


def _render(template, fields):
    def value(match):
        found = fields
        for key in match[1].split('.'):
            found = found[key]
        return json.dumps(found)

    return re.sub(r'\{\{([^}|]+)\|json\}\}', value, template)


class Process:
    """Process of one machine.

    Parameters
    ----------
    mesh : Mesh
        Deployment that the machine belongs to.
    role : str
        Role in the deploy file.
    name : str
        Name of the machine.
    ip : str
        Loopback address of the machine.
    zone : str
        Zone of the machine.
    service : str
        Service of the target on the machine, for nodes.
    """

    def __init__(self, mesh, role, name, ip, zone, service=''):
        self.mesh = mesh
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.may_found = True
        self.popen = None
        self.starts = 0
        self.log_path = mesh.directory / f'{name}.log'
        self.data_dir = mesh.directory / name
        self.settings_path = mesh.directory / f'{name}.conf'

    def address(self, port):
        """Return the address of one of the machine's ports."""
        return f'{self.ip}:{self.mesh.ports[port]}'

    def start(self):
        """Start the process; it does not listen yet."""
        mesh = self.mesh
        role = mesh.deploy['roles'][self.role]
        fields = {
            'node': self.name,
            'zone': self.zone,
            'region': 'local',
            'ip': self.ip,
            'service': self.service,
            'seeds': mesh.seeds,
            'bootstrap': self.may_found,
            'data-dir': str(self.data_dir),
            'heartbeat': f'{HEARTBEAT_S * 1000:.0f}ms',
            'internal-ports': [
                mesh.ports[INTERNAL],
                mesh.ports[INTERNAL],
            ],
            'listen': {
                'inbound': self.address(INBOUND),
                'outbound': self.address(OUTBOUND),
                'ready': self.address(READY),
                'control': self.address(CONTROL),
            },
            'bounds': {
                'grace': '6s',
                'retry-budget-ratio': 0.2,
                'budget-extra': 56,
            },
        }
        template = (ROOT / role['template']).read_text()
        # The metrics of the processes are not needed.
        lines = [
            line
            for line in _render(template, fields).splitlines()
            if not line.startswith('metrics_port')
        ]
        self.settings_path.write_text('\n'.join(lines) + '\n')
        command = [
            str(self.settings_path) if word.startswith('/') else word
            for word in role['run'].split()
        ]
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ('PATH', 'HOME', 'LANG')
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.starts += 1
        mesh.started.append(self.popen)
        mesh.record.write(f'{self.name} starts')

    def send_signal(self, number):
        """Send a signal to the process."""
        self.mesh.record.write(f'{self.name} gets {number.name}')
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def read_log(self):
        """Return all lines that the machine's processes have written."""
        return self.log_path.read_text(errors='replace')

    def lose_disk(self):
        """Empty the data directory; the process must have ended."""
        for path in self.data_dir.iterdir():
            path.unlink()
        self.may_found = False
        self.mesh.record.write(f'{self.name} loses its disk')


class Mesh:
    """Deployment in a temporary directory; ends its processes on exit.

    Parameters
    ----------
    record : Record
        Receives what happens.
    services : tuple of str
        Service of each node's target.
    control_count : int
        Number of controls.
    """

    def __init__(self, record, services, control_count=3):
        self.record = record
        self.started = []
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.directory = Path(self.temporary.name)
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self.deploy = tomllib.load(file)
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRunError('the build of the deploy file is missing')
        subnet = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        controls = [
            (f'control-{i + 1}', f'{subnet}.{i + 1}')
            for i in range(control_count)
        ]
        nodes = [
            (f'node-{i + 1}', f'{subnet}.{i + 101}')
            for i in range(len(services))
        ]
        self.ports = _find_ports([ip for _, ip in controls + nodes])
        self.seeds = [f'{ip}:{self.ports[CONTROL]}' for _, ip in controls[:3]]
        self.controls = [
            Process(self, 'control', name, ip, ZONES[i % len(ZONES)])
            for i, (name, ip) in enumerate(controls)
        ]
        self.nodes = [
            Process(self, 'node', name, ip, ZONES[i % len(ZONES)], services[i])
            for i, (name, ip) in enumerate(nodes)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for popen in self.started:
            if popen.poll() is None:
                popen.kill()
            popen.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.directory.glob('*.log'):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    def start(self):
        """Start all processes."""
        for process in self.controls + self.nodes:
            process.start()

    async def wait_ready(self, nodes=None):
        """Wait until nodes, by default all, are ready."""
        for node in self.nodes if nodes is None else nodes:
            await wait_for(
                lambda node=node: _is_ready(node), f'{node.name} is ready'
            )


def _find_ports(ips):
    for _ in range(100):
        first = random.randint(10_000, 30_000)
        ports = list(range(first, first + METRICS + 1))
        try:
            for ip in ips:
                for port in ports:
                    with socket.socket() as sock:
                        sock.bind((ip, port))
        except OSError:
            continue
        return ports
    raise CannotRunError('there are no free ports')


async def _is_ready(node):
    answer = await call(node.address(READY), 'GET', '/ready', timeout_s=1.0)
    return answer.status == 200


async def wait_for(condition, what, limit_s=START_S):
    """Wait until a coroutine function returns a true value; return it.

    Raises
    ------
    CannotRunError
        If it does not within the limit.
    """
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(0.1)
    raise CannotRunError(f'in {limit_s} s it did not happen: {what}')


class Answer:
    """Answer to a call; the status is 0 if there was no complete one."""

    def __init__(self, status=0, fields=None, body=b''):
        self.status = status
        self.fields = fields or {}
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def call(
    address, method, path, fields=(), body=NO_BODY, timeout_s=5.0, host=None
):
    """Send a request on a new connection and return its answer.

    A body without a length in the fields is sent with one.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, fields, body, host)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return Answer()


async def _call(address, method, path, fields, body, host):
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host or address}',
            *fields,
        ]
        if CHUNKED in fields:
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        else:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Read one answer with a length from a stream."""
    first, fields = await read_head(reader)
    length = int(fields.get('content-length', 0))
    body = await reader.readexactly(length)
    return Answer(int(first.split()[1]), fields, body)


async def read_head(reader):
    """Return the first line of a message and its fields."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return first, fields


class Target:
    """Back end that runs each request and answers it.

    Parameters
    ----------
    node : Process
        Node beside the target.
    target_id : str
        Id of this lifetime.
    record : Record
        Receives what the target runs.

    Attributes
    ----------
    runs : list of tuple of float and str
        Time and attempt id of each request that the target ran.
    seq : int
        Sequence number of the last check-in.
    is_leaving : bool
        Whether the target drains or has withdrawn itself.
    on_run : callable or None
        Coroutine function of the attempt id and the writer, called for each
        request that runs; returns whether the target still answers.
    """

    def __init__(self, node, target_id, record, slots=6):
        self.node = node
        self.target_id = target_id
        self.record = record
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.runs = []
        self.seq = 0
        self.is_leaving = False
        self.on_run = None
        self.work_s = 0.005
        self.server = None
        self.beats = None

    @property
    def address(self):
        """Address of the target."""
        return self.node.address(APP)

    async def start(self):
        """Listen, and send check-ins from now on."""
        self.server = await asyncio.start_server(
            self._serve, self.node.ip, self.node.mesh.ports[APP]
        )
        self.beats = asyncio.create_task(self._send_check_ins())

    def stop_check_ins(self):
        """Send no more check-ins."""
        self.beats.cancel()

    def make_check_in(self):
        """Return the body of the next check-in."""
        self.seq += 1
        return json.dumps(
            {
                'address': self.address,
                'born': self.born,
                'info': {
                    'service': self.node.service,
                    'version': 'v1',
                    'zone': self.node.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': 'draining' if self.is_leaving else 'ready',
                    'seq': self.seq,
                    'cold-remaining': '0ms',
                },
            }
        ).encode()

    async def check_in(self, body=None):
        """Send a check-in; return the status of its answer, 0 for none."""
        answer = await call(
            self.node.address(CONTROL),
            'PUT',
            f'/instances/{self.target_id}',
            ['Content-Type: application/json'],
            self.make_check_in() if body is None else body,
            timeout_s=1.0,
        )
        return answer.status

    async def withdraw(self):
        """Withdraw the target; return the status of the answer."""
        answer = await call(
            self.node.address(CONTROL),
            'DELETE',
            f'/instances/{self.target_id}',
            timeout_s=1.0,
        )
        return answer.status

    async def _send_check_ins(self):
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_request(reader, writer):
                    pass
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        first, fields = await read_head(reader)
        await reader.readexactly(int(fields.get('content-length', 0)))
        path = first.split()[1]
        if path == '/health':
            status = 503 if self.is_leaving else 200
            return await _send(
                writer, status, b'', f'Instance-Id: {self.target_id}'
            )
        attempt_id = fields.get('attempt-id', '')
        echo = f'Attempt-Id: {attempt_id}'
        if fields.get('expect-instance', self.target_id) != self.target_id:
            return await _send(writer, 421, b'', echo)
        self.runs.append((time.monotonic(), attempt_id))
        self.record.write(f'{self.target_id} runs {attempt_id} {first}')
        if self.on_run is not None and not await self.on_run(
            attempt_id, writer
        ):
            return False
        await asyncio.sleep(self.work_s)
        body = f'{self.target_id} ran {attempt_id}'.encode()
        return await _send(writer, 200, body, echo, 'Response-Seal: 3e1b.07')


class SocketTarget(Target):
    """Target that serves each connection in a thread, one byte at need.

    Unlike its base it reads no more of a connection than it asks for.
    """

    # Size of the receive buffer and of the segments; None for the defaults.
    window_bytes = None
    segment_bytes = None

    async def start(self):
        """Listen, and send check-ins from now on."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window_bytes is not None:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes
            )
        if self.segment_bytes is not None:
            listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment_bytes
            )
        listener.bind((self.node.ip, self.node.mesh.ports[APP]))
        listener.listen()
        _start_thread(self._accept, listener)
        self.beats = asyncio.create_task(self._send_check_ins())

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            _start_thread(self._serve_socket, sock)

    def _serve_socket(self, sock):
        buffer = bytearray()
        with suppress(OSError), sock:
            while self.serve_one(sock, buffer):
                pass

    def serve_one(self, sock, buffer):
        """Serve a request; return whether the connection goes on."""
        while b'\r\n\r\n' not in buffer:
            data = sock.recv(2_048)
            if not data:
                return False
            buffer += data
        head, _, rest = bytes(buffer).partition(b'\r\n\r\n')
        buffer[:] = rest
        first, *lines = head.decode('latin-1').split('\r\n')
        fields = dict(line.lower().split(': ', 1) for line in lines)
        length = int(fields.get('content-length', 0))
        attempt_id = fields.get('attempt-id', '')
        if first.split()[1] == '/health':
            answer_on_socket(
                sock, '200 OK', b'', f'Instance-Id: {self.target_id}'
            )
            return True
        return self.serve_request(sock, buffer, first, attempt_id, length)

    def serve_request(self, sock, buffer, first, attempt_id, length):
        """Run a request whose body is still to be read, and answer it."""
        if len(read_from_socket(sock, buffer, length)) < length:
            return False
        self.runs.append((time.monotonic(), attempt_id))
        self.record.write(f'{self.target_id} runs {attempt_id} {first}')
        body = f'{self.target_id} ran {attempt_id}'.encode()
        answer_on_socket(
            sock,
            '200 OK',
            body,
            f'Attempt-Id: {attempt_id}',
            'Response-Seal: 3e1b.07',
        )
        return True


def _start_thread(run, *args):
    threading.Thread(target=run, args=args, daemon=True).start()


def read_from_socket(sock, buffer, length):
    """Return a body; a shorter one if the connection ends before."""
    while len(buffer) < length:
        try:
            data = sock.recv(65_536)
        except OSError:
            break
        if not data:
            break
        buffer += data
    body = bytes(buffer[:length])
    del buffer[:length]
    return body


def answer_on_socket(sock, status, body, *fields):
    """Send an answer with a length."""
    lines = [f'HTTP/1.1 {status}', *fields, f'Content-Length: {len(body)}']
    sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


async def _send(writer, status, body, *fields):
    lines = [
        f'HTTP/1.1 {status} Reason',
        *fields,
        f'Content-Length: {len(body)}',
    ]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    await writer.drain()
    return True


class Client:
    """Sends requests to nodes, each on a new connection.

    Parameters
    ----------
    record : Record
        Receives what is sent and answered.
    host : str
        Host of the routes.
    """

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.sent = 0

    async def send(
        self, node, path, method='GET', body=b'', limit_ms=1000, fields=()
    ):
        """Send a request; return its attempt id and its answer."""
        self.sent += 1
        attempt_id = f'{random.getrandbits(48):012x}{self.sent:04x}'
        self.record.write(f'{attempt_id} {method} {path} to {node.name}')
        answer = await call(
            node.address(OUTBOUND),
            method,
            path,
            [
                f'Attempt-Id: {attempt_id}',
                f'Deadline-Ms: {limit_ms}',
                *fields,
            ],
            body,
            timeout_s=limit_ms / 1000,
            host=self.host,
        )
        self.record.write(
            f'{attempt_id} answered {answer.status}, {len(answer.body)} bytes'
            f' {answer.body[:60]}'
        )
        return attempt_id, answer


class Operator:
    """Sends and reads configurations at the controls.

    Parameters
    ----------
    mesh : Mesh
        The deployment.
    host : str
        Host of the routes.
    services : tuple of str
        Services of all configurations.
    """

    def __init__(self, mesh, host, services):
        self.mesh = mesh
        self.host = host
        self.services = services
        self.version = 0
        self.acked = None

    def make(self, paths):
        """Return the next configuration with some routes."""
        return {
            'version': f'{self.version + 1:08x}',
            'base-version': f'{self.version:08x}',
            'services': [
                {
                    'name': name,
                    'health-path': '/health',
                    'max-connections': 110,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in self.services
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 67108864,
                'header-timeout': '3000ms',
                'idle-timeout': '15000ms',
            },
            'virtual-hosts': [{'host': self.host, 'paths': paths}],
        }

    async def submit(self, configuration, limit_s=START_S, controls=None):
        """Send a configuration until it is acknowledged.

        Returns
        -------
        bool
            Whether it was acknowledged within the limit.
        """
        body = json.dumps(configuration).encode()
        version = configuration['version']
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for control in controls or self.mesh.controls:
                answer = await call(
                    control.address(CONTROL),
                    'PUT',
                    '/config',
                    ['Content-Type: application/json'],
                    body,
                    timeout_s=1.0,
                )
                self.mesh.record.write(
                    f'PUT /config {version} to {control.name}: {answer.status}'
                )
                if answer.status == 200:
                    self.version = int(version, 16)
                    self.acked = configuration
                    return True
            await asyncio.sleep(0.2)
        return False

    async def read(self, control):
        """Return the version that a control answers, or None."""
        answer = await call(
            control.address(CONTROL), 'GET', '/config', timeout_s=2.0
        )
        version = answer.json()['version'] if answer.status == 200 else None
        self.mesh.record.write(
            f'GET /config to {control.name}: {answer.status} {version}'
        )
        return version


def route(name, prefix, service, kind='safe', timeout_ms=1000, **fields):
    """Return a route of a configuration."""
    return {
        'name': name,
        'path-prefix': prefix,
        'kind': kind,
        'timeout': f'{timeout_ms}ms',
        'target-latency': '400ms',
        'priority': 1,
        'max-attempts': 2,
        **({'service': service} if service else {}),
        **fields,
    }


def run_case(main, services, folder):
    """Run a case and exit with its status.

    Parameters
    ----------
    main : callable
        Coroutine function of the mesh and the record; returns whether the
        rule held.
    services : tuple of str
        Service of each node's target.
    folder : str
        Folder of the case.
    """
    record = Record(Path(folder) / 'record.txt')
    record.write(f'TROUBLE={int(TROUBLE)}')
    try:
        with Mesh(record, services) as mesh:
            held = asyncio.run(main(mesh, record))
    except CannotRunError as error:
        record.say(f'the case could not run: {error}')
        sys.exit(NOT_RUN)
    record.say('the rule held' if held else 'the rule was broken')
    sys.exit(HELD if held else BROKEN)
