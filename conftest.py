"""Passes over just the tests in KNOWN-RED.txt, and prints them."""

import pytest

from snipelead.testing.known_red import KNOWN_RED
from snipelead.testing.known_red import load_known_red


def pytest_collection_modifyitems(config, items):
    """Let the tests that are known to fail run without failing the run."""
    known = {entry.test: entry for entry in load_known_red(config.rootpath)}
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            reason = f'{entry.issue}: {entry.seen}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter, config):
    """Print the list, whatever part of the tests was run."""
    for entry in load_known_red(config.rootpath):
        terminalreporter.write_line(
            f'{KNOWN_RED}: {entry.test} ({entry.issue}): {entry.seen}'
        )
