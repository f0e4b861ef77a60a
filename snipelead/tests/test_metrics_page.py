from pathlib import Path
import re

from testtools import TestCase
import trio

import snipelead
from snipelead.callers.call import Call
from snipelead.metrics import ControlMetrics
from snipelead.metrics import NodeMetrics
from snipelead.types import Preference
from snipelead.types import Ran
from snipelead.types import RequestClass
from snipelead.types import TenantName

PAGE = Path(snipelead.__file__).parent.parent / 'docs' / 'METRICS.md'
ROW = re.compile(r'\| `(\w+)` \| (\w+) \| [^|]+ \| ([\w, ]+) \|')
# Label that the library adds to each bucket.
BUCKET_LABEL = 'le'


def read_page(section):
    """Return kind and labels by name, as a section of the page lists them."""
    text = PAGE.read_text().partition(f'## {section}\n')[2].partition('\n## ')
    return {
        name: (kind, set(labels.split(', ')))
        for name, kind, labels in ROW.findall(text[0])
    }


def read_exposition(text):
    """Return kind and labels by name, as a process tells them."""
    kinds = dict(re.findall(r'# TYPE (\w+) (\w+)', text))
    found = {}
    for name, kind in kinds.items():
        labels = set()
        for part in re.findall(rf'^{name}\w*{{(.*)}}', text, re.MULTILINE):
            labels |= set(re.findall(r'(\w+)="', part))
        found[name] = (kind, labels - {BUCKET_LABEL})
    return found


class MetricsPageTest(TestCase):
    def check(self, section, metrics):
        text, _ = metrics.render()
        self.assertEqual(read_page(section), read_exposition(text.decode()))

    def test_metrics_of_a_node(self):
        async def main():
            metrics = NodeMetrics()
            call = Call(
                RequestClass.INTERACTIVE, TenantName('one'), False, 1_000
            )
            call.ran, call.target_s = Ran.YES, 0.1
            metrics.observe_call(call)
            return metrics

        self.check('Node', trio.run(main))

    def test_metrics_of_a_control(self):
        metrics = ControlMetrics()
        metrics.observe_convergence(Preference.CONVERGENCE.value, 0.1)
        self.check('Control', metrics)
