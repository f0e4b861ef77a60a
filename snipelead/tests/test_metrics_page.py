from pathlib import Path
import re

from testtools import TestCase
import trio

import snipelead
from snipelead.authentication.authenticator import Authenticator
from snipelead.callers.call import Call
from snipelead.http.budget import CallerBudget
from snipelead.metrics import ControlMetrics
from snipelead.metrics import NodeMetrics
from snipelead.nodes.holder import ReleaseHolder
from snipelead.quarantine.ledger import Verdict
from snipelead.types import Preference
from snipelead.types import Ran
from snipelead.types import RequestClass
from snipelead.types import TenantName

PAGE = Path(snipelead.__file__).parent.parent / 'docs' / 'METRICS.md'
ROW = re.compile(r'\| `(\w+)` \| (\w+) \| [^|]+ \| ([\w, ]+|-) \|')
NO_LABELS = '-'
# Label of the upper bound that the library adds to each bucket.
BUCKET_LABEL = 'le'


def read_documented_metrics(section):
    """Return kind and labels of the metrics in a section of the page."""
    text = PAGE.read_text().partition(f'## {section}\n')[2].partition('\n## ')
    return {
        name: (kind, set(labels.split(', ')) - {NO_LABELS})
        for name, kind, labels in ROW.findall(text[0])
    }


def read_exposed_metrics(text):
    """Return kind and labels of the metrics in an exposition."""
    kinds = dict(re.findall(r'# TYPE (\w+) (\w+)', text))
    metrics_by_name = {}
    for name, kind in kinds.items():
        labels = set()
        for part in re.findall(rf'^{name}\w*{{(.*)}}', text, re.MULTILINE):
            labels |= set(re.findall(r'(\w+)="', part))
        metrics_by_name[name] = (kind, labels - {BUCKET_LABEL})
    return metrics_by_name


class MetricsPageTest(TestCase):
    def check(self, section, metrics):
        text, _ = metrics.render()
        self.assertEqual(
            read_documented_metrics(section),
            read_exposed_metrics(text.decode()),
        )

    def test_node_metrics_match_the_page(self):
        async def main():
            metrics = NodeMetrics()
            call = Call(
                RequestClass.INTERACTIVE, TenantName('one'), False, 1_000
            )
            call.ran, call.target_time_s = Ran.YES, 0.1
            metrics.observe_call(call)
            metrics.budget = CallerBudget()
            metrics.get_rate_limits = lambda: {'t': 2.5}
            metrics.get_quarantine_counts = lambda: (
                1,
                2,
                {Verdict.SUSPECT: 3},
            )
            metrics.get_rollout_requests = lambda: {'s': 1}
            holder = ReleaseHolder()
            metrics.authenticator = Authenticator(holder, revocation_ms=5_000)
            metrics.authenticator.refusals['SL3030'] += 1
            metrics.get_target_slots = lambda: {'t': 6}
            metrics.early_refusal_counts = {'reads': 1}
            metrics.get_quota_counts = lambda: {('c', 'admitted'): 1}
            return metrics

        async def check():
            self.check('Node', await main())

        trio.run(check)

    def test_control_metrics_match_the_page(self):
        metrics = ControlMetrics()
        metrics.get_rollouts = lambda: {('s', 'running'): 1}
        metrics.budget = CallerBudget()
        metrics.observe_convergence(Preference.CONVERGENCE.value, 0.1)
        metrics.count_lease(granted=True)
        metrics.get_quota_counts = lambda: {('c', 'granted'): 1}
        self.check('Control', metrics)
