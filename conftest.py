"""Marks the tests in KNOWN-RED.txt as expected failures and lists them."""

import pytest

from snipelead.testing.known_failures import KNOWN_FAILURES_FILE
from snipelead.testing.known_failures import load_known_failures


def pytest_collection_modifyitems(config, items):
    """Mark known failures as xfail, so that they do not fail the run."""
    known_failures = {
        entry.test: entry for entry in load_known_failures(config.rootpath)
    }
    for item in items:
        entry = known_failures.get(item.nodeid)
        if entry is not None:
            reason = f'{entry.issue}: {entry.seen}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter, config):
    """Print all known failures, whichever tests were selected."""
    for entry in load_known_failures(config.rootpath):
        terminalreporter.write_line(
            f'{KNOWN_FAILURES_FILE}: {entry.test} ({entry.issue}):'
            f' {entry.seen}'
        )
