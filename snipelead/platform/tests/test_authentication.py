from fixtures import MonkeyPatch
from msgspec.structs import replace
import structlog
from structlog.testing import capture_logs

from snipelead.callers.tests.fakes import RELEASE
from snipelead.emulator.platform_target import Misbehaviour
from snipelead.http.connection import Connection
from snipelead.platform.tests.test_protocols import PlatformTestCase
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.document import Customer
from snipelead.releases.document import Setting

KEY = 'k-9f31c7'
CUSTOMER = Customer('spectacle', (KEY, 'k-second'), priority=3)
AUTHENTICATED = replace(
    RELEASE,
    number=2,
    routes=RELEASE.routes
    | {'reports': replace(RELEASE.routes['reports'], public=True)},
    settings={
        AUTHENTICATION_SETTING: Setting(AUTHENTICATION_SETTING, True),
    },
    customers={CUSTOMER.name: CUSTOMER},
)


def record_sent_data(test):
    """Record what connections send from now on, with the connection."""
    sent = []
    send_nowait = Connection.send_nowait

    def record(connection, data):
        sent.append((connection, bytes(data)))
        return send_nowait(connection, data)

    test.patch(Connection, 'send_nowait', record)
    return sent


class AuthenticationTest(PlatformTestCase):
    def make_nodes(self):
        super().make_nodes()
        for node in (self.near, self.far):
            node.holder.replace(AUTHENTICATED)

    def test_target_gets_the_name_and_not_the_key(self):
        """Guards against a forged name, and a key that is passed on."""

        async def test(target):
            response, _ = await self.call(Credential=KEY, Tenant='forged')
            self.assertEqual(200, response.status)
            head = target.request_headers[-1]
            self.assertEqual(b'spectacle', head[b'tenant'])
            self.assertNotIn(b'credential', head)

        self.run_with_both_paths(test)

    def test_public_route_needs_no_key_and_drops_both_fields(self):
        async def test(target):
            for fields in ({}, {'Credential': KEY, 'Tenant': 'forged'}):
                response, _ = await self.call('/reports/1', **fields)
                self.assertEqual(200, response.status)
                head = target.request_headers[-1]
                self.assertNotIn(b'tenant', head)
                self.assertNotIn(b'credential', head)

        self.run_with_both_paths(test)

    def test_request_without_a_valid_key_gets_401(self):
        async def test(target):
            for fields, code in (
                ({}, b'SL3030'),
                ({'Credential': KEY + '\r\nCredential: ' + KEY}, b'SL3030'),
                ({'Credential': KEY, 'Connection': 'credential'}, b'SL3030'),
                ({'Credential': 'unknown'}, b'SL3031'),
                ({'Credential': KEY[:-1]}, b'SL3031'),
                ({'Credential': ''}, b'SL3031'),
            ):
                response, body = await self.call(**fields)
                self.assertEqual(401, response.status)
                self.assertIn(code, body)
            self.assertEqual([], target.runs)

        self.run_with_both_paths(test)

    def test_node_without_a_release_answers_503(self):
        """Guards against 401 because a node does not know the keys yet."""

        async def test(target):
            self.near.holder.ready = False
            response, _ = await self.call(Credential=KEY)
            self.assertEqual(503, response.status)

        self.run_with_both_paths(test)

    def test_priority_of_the_customer_comes_first(self):
        calls = []

        async def test(target):
            attempts = self.near.path.attempts
            send = attempts._send

            async def record_call(entry, call, *args):
                calls.append((call.priority, call.tenant))
                return await send(entry, call, *args)

            attempts._send = record_call
            await self.call(Credential=KEY)
            await self.call('/reports/1', Credential=KEY)

        self.run_with_both_paths(test)
        self.assertEqual([(3, 'spectacle'), (0, 'default')] * 2, calls)

    def test_key_appears_nowhere(self):
        """Greps all that the nodes send, log and expose."""
        sent = record_sent_data(self)
        callers = []

        async def test(target):
            for path in ('/reads/1', '/reports/1', '/nothing'):
                for key in (KEY, KEY + 'x', KEY + '\r\nCredential: ' + KEY):
                    caller = await self.open()
                    callers.append(caller.connection)
                    await caller.call(path, Credential=key, Attempt_Id='a')
            await caller.call('/reads/1', Credential=KEY, Deadline_Ms='x')
            for node in (self.near, self.far):
                text, _ = node.metrics.render()
                self.assertNotIn(KEY.encode(), text)

        # Earlier tests may have configured another level or output, also for
        # the logger of the module, if it has been used since.
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.reset_defaults()
        self.useFixture(
            MonkeyPatch(
                'snipelead.logs._logger', structlog.get_logger('snipelead')
            )
        )
        with capture_logs() as lines:
            self.run_with_both_paths(test)
        by_nodes = b''.join(d for c, d in sent if c not in callers)
        self.assertIn(b'spectacle', by_nodes)
        self.assertNotIn(KEY.encode(), by_nodes)
        self.assertNotEqual([], lines)
        self.assertNotIn(KEY, repr(lines))
        self.assertNotIn(KEY, repr(AUTHENTICATED))


class NoAuthenticationTest(PlatformTestCase):
    def test_key_and_name_stay_at_the_first_node(self):
        """Guards against keys passed on by a node without customers."""

        async def test(target):
            for path in ('/reads/1', '/reports/1'):
                response, _ = await self.call(
                    path, Credential=KEY, Tenant='forged'
                )
                self.assertEqual(200, response.status)
                head = target.request_headers[-1]
                self.assertNotIn(b'credential', head)
                self.assertNotIn(b'tenant', head)

        sent = record_sent_data(self)
        self.run_forwarded(lambda nursery: test(self.far.target))
        to_nodes = b''.join(d for _, d in sent if b'x-snipelead-call' in d)
        self.assertNotEqual(b'', to_nodes)
        self.assertNotIn(KEY.encode(), to_nodes)
        self.assertNotIn(b'forged', to_nodes)
        self.make_nodes()
        self.run_locally(lambda nursery: test(self.near.target))

    def test_key_stays_at_the_first_node_during_a_retry(self):
        async def test(nursery):
            targets = (self.near.target, self.far.target)
            for target in targets:
                target.next_misbehaviours = [Misbehaviour.ERROR]
            response, _ = await self.call(Credential=KEY)
            heads = [h for t in targets for h in t.request_headers]
            self.assertGreater(len(heads), 1)
            for head in heads:
                self.assertNotIn(b'credential', head)

        self.run_nodes(test, self.near, self.far)

    def test_metadata_between_nodes_is_unchanged(self):
        """Guards against more bytes between zones in other deployments."""
        sent = record_sent_data(self)

        async def test(nursery):
            await self.call()

        self.run_forwarded(test)
        (head,) = (head for _, head in sent if b'x-snipelead-call' in head)
        call = head.partition(b'x-snipelead-call: ')[2].partition(b'\r')[0]
        self.assertTrue(call.endswith(b'"reads","attempt-1",0,null]'), call)
