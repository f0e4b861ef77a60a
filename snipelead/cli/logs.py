"""Command that explains log files."""

from pathlib import Path

from cleo.helpers import argument

from snipelead.callers import events as caller_events
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import RequestNotLoggedError
from snipelead.quarantine import events as quarantine_events
from snipelead.targets import events as target_events
from snipelead.utils.log_parsing import explain_request
from snipelead.utils.log_parsing import parse_log_lines

__all__ = ['LogsExplainCommand']

# Imported to register the events whose meanings are shown.
EVENT_MODULES = (caller_events, quarantine_events, target_events)


class LogsExplainCommand(SnipeleadCommand):
    """Shows the log lines of all processes about one request."""

    name = 'logs explain'
    description = 'Show the log lines about one request, in order of time.'
    help = """Reads the log files of several processes. Text before the JSON
object of a line, such as the prefix of a log collector, is ignored. Exits 1
if no line is about the request.

Example:
  snipelead logs explain 9c41d07be2a35f68 node-*.log"""
    arguments = [
        argument('request', 'Attempt id that the caller sent.'),
        argument('files', 'Log files.', multiple=True),
    ]

    def run_command(self):
        """Read the log files and print the lines about the request."""
        lines = []
        for path in self.argument('files'):
            lines += parse_log_lines(Path(path).read_text(errors='replace'))
        request_id = self.argument('request')
        explanation = explain_request(lines, request_id)
        if not explanation:
            raise RequestNotLoggedError(
                f'no log line is about request {request_id!r}; only a'
                ' sample of the requests that a target answered is logged'
            )
        for text in explanation:
            self.show(text)
