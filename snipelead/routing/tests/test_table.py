from testtools import TestCase

from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.routing.table import RouteTable


class RouteTableTest(TestCase):
    def setUp(self):
        super().setUp()
        routes = (
            Route('all', 's'),
            Route('orders', 's', '/orders'),
            Route('post', 's', '/orders', methods=('POST',), host='shop'),
            Route('deep', 's', '/orders/deep'),
        )
        self.table = RouteTable(Release(1, {}, {r.name: r for r in routes}))

    def match(self, host, path, method='GET'):
        return self.table.match(host, path, method).name

    def test_longest_prefix_wins(self):
        self.assertEqual('deep', self.match('x', '/orders/deep/1'))
        self.assertEqual('orders', self.match('x', '/orders/1'))
        self.assertEqual('all', self.match('x', '/other'))

    def test_route_of_given_host_takes_precedence(self):
        self.assertEqual('post', self.match('Shop:80', '/orders/1', 'POST'))

    def test_method_must_match(self):
        self.assertEqual('orders', self.match('shop', '/orders/1'))
