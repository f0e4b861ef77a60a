"""Commands that check, submit and show releases."""

from cleo.helpers import argument
from cleo.helpers import option
from msgspec import Struct
import trio

from snipelead.cli.command import CONTROL_OPTION
from snipelead.cli.command import ExitCode
from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import NotInForceError
from snipelead.cli.exceptions import UsageError
from snipelead.cli.fleet import NOT_CERTIFIED_WARNING
from snipelead.exceptions import SnipeleadError
from snipelead.operators.client import UNKNOWN_OUTCOME_ADVICE
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.operators.messages import SubmissionResult
from snipelead.releases.note import load_note
from snipelead.releases.note_application import validate_note
from snipelead.types import OutcomeKind

__all__ = [
    'ReleaseListCommand',
    'ReleaseShowCommand',
    'ReleaseSubmitCommand',
    'ReleaseValidateCommand',
]

DEFAULT_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1
DEFAULT_LIST_LIMIT = 20

_FILE_ARGUMENT = argument('file', 'Release note (YAML).')
_EXIT_CODE_BY_OUTCOME = {
    OutcomeKind.ACCEPTED: ExitCode.OK,
    OutcomeKind.REFUSED: ExitCode.REFUSED,
    OutcomeKind.UNKNOWN: ExitCode.UNKNOWN,
}


def describe_status(status):
    """Yield the lines that describe a ReleaseStatus."""
    node_counts = f'{status.confirmed} of {status.nodes} live nodes'
    number = status.held.number
    if number == 0:
        yield f'no release has been accepted yet; {status.nodes} live nodes'
        return
    match status.state:
        case ReleaseState.SUPERSEDED:
            yield (
                f'release {number}: superseded by release'
                f' {status.current.number}; reached by {node_counts}'
            )
        case ReleaseState.IN_FORCE:
            yield f'release {number}: in force on all {status.nodes} nodes'
        case _:
            yield f'release {number}: accepted, in force on {node_counts}'
    if status.note is not None:
        yield f'note: {status.note}'
    for node in status.lagging:
        yield (
            f'node {node.node_id} in {node.zone} lags: it runs release'
            f' {node.held.number}, last report {node.age_ms} ms ago'
        )
    for node_id in status.silent_nodes:
        yield f'node {node_id} is silent and not counted'
    for control_id in status.unreachable_controls:
        yield f'control {control_id} is unreachable; its nodes are unknown'
    for control_id in status.warming_controls:
        yield f'control {control_id} started recently; nodes may be missing'


def describe_progress(status):
    """Return one line about a release that is not yet in force everywhere."""
    summary = next(describe_status(status))
    pending_controls = [
        f'{c} is unreachable' for c in status.unreachable_controls
    ]
    pending_controls += [
        f'{c} started recently' for c in status.warming_controls
    ]
    return '; '.join([summary, *pending_controls])


def _is_final(status):
    return status.in_force or status.state is ReleaseState.SUPERSEDED


def describe_result(result):
    """Return the line that describes a SubmissionResult."""
    match result.outcome:
        case OutcomeKind.ACCEPTED:
            return f'accepted: release {result.held.number}'
        case OutcomeKind.REFUSED:
            return (
                f'refused, nothing took effect: {result.code}:'
                f' {result.message}'
            )
        case _:
            return (
                f'{UNKNOWN_OUTCOME_ADVICE} ({result.code}: {result.message})'
            )


class CheckedNote(Struct, frozen=True):
    """JSON output for a note that passed the offline checks.

    Parameters
    ----------
    note : str
        Id of the note.
    release : int
        Number of the release that it creates.
    changes : int
        Number of changes.
    needs : tuple of str
        Entries that the current release must contain.
    """

    note: str
    release: int
    changes: int
    needs: tuple[str, ...]


class SubmitReport(Struct, frozen=True, omit_defaults=True):
    """JSON output of a submission.

    Parameters
    ----------
    answer : SubmissionResult
        Result of the submission.
    status : ReleaseStatus or None
        Final status of the release; None without ``--wait`` or if the note
        was not accepted.
    """

    answer: SubmissionResult
    status: ReleaseStatus | None = None


class ReleaseValidateCommand(SnipeleadCommand):
    """Checks a release note without contacting a control."""

    name = 'release validate'
    description = 'Check a release note without submitting it.'
    help = """Runs offline. Entries that the note requires, such as a service
added by an earlier release, are listed here and checked on submission.

Example:
  snipelead release validate examples/dozators.yaml"""
    arguments = [_FILE_ARGUMENT]
    options = [JSON_OPTION]

    def run_command(self):
        """Check the note."""
        note = load_note(self.read_file_argument('file'))
        needs = validate_note(note)
        if self.wants_json:
            count = len(note.changes)
            self.show_json(CheckedNote(note.note, note.release, count, needs))
            return
        self.show(
            f'release {note.release}, note {note.note}:'
            f' {len(note.changes)} valid changes'
        )
        for need in needs:
            self.show(f'the current release must contain {need}')


class ReleaseSubmitCommand(SnipeleadCommand):
    """Submits a release note."""

    name = 'release submit'
    description = 'Submit a release note and print its outcome.'
    help = f"""Exit codes: 0 accepted (and in force, with --wait); 1 refused,
nothing took effect; 3 {UNKNOWN_OUTCOME_ADVICE}.
If a response is lost, the same note is sent to the next control; it is
applied only once.

Examples:
  snipelead release submit examples/dozators.yaml --wait \\
    --control 127.0.0.1:7111 --control 127.0.0.1:7121
  SNIPELEAD_CONTROLS=127.0.0.1:7111 snipelead release submit note.yaml"""
    arguments = [_FILE_ARGUMENT]
    options = [
        CONTROL_OPTION,
        JSON_OPTION,
        option(
            'wait',
            description='Wait until the release is in force on all nodes.',
        ),
        option(
            'timeout',
            description='Maximum time of --wait in seconds.',
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
    ]

    def run_command(self):
        """Submit the note; with ``--wait``, wait until it is in force."""
        timeout_s = self.parse_seconds('timeout')
        text = self.read_file_argument('file')
        note = load_note(text)
        return trio.run(self._submit, text, note.note, timeout_s)

    async def _submit(self, text, note_id, timeout_s):
        async with self.open_client() as client:
            result = await client.submit(text, note_id)
            if result.outcome is not OutcomeKind.ACCEPTED:
                return self._show_report(SubmitReport(result))
            if not self.option('wait'):
                return self._show_report(SubmitReport(result))
            self.show_diagnostic(describe_result(result))
            with trio.move_on_after(timeout_s):
                status = await self._wait_until_final(client, result.held)
                return self._show_report(SubmitReport(result, status))
        raise NotInForceError(
            f'release {result.held.number} remains accepted, but is not'
            f' known to be in force on all nodes after {timeout_s:g} s;'
            ' check it with release show'
        )

    async def _wait_until_final(self, client, release):
        """Poll an accepted release until it is in force or superseded.

        A failed read does not affect the release, so the error is printed and
        the read is retried.
        """
        last_progress = None
        while True:
            try:
                status = await client.show_release(release.number)
            except SnipeleadError as error:
                progress = str(error)
            else:
                if _is_final(status):
                    return status
                progress = describe_progress(status)
            if progress != last_progress:
                self.show_diagnostic(progress)
                last_progress = progress
            await trio.sleep(POLL_INTERVAL_S)

    def _show_report(self, report):
        if self.wants_json:
            self.show_json(report)
        else:
            self._show_text(report)
        return _EXIT_CODE_BY_OUTCOME[report.answer.outcome]

    def _show_text(self, report):
        if report.answer.outcome is not OutcomeKind.ACCEPTED:
            self.show_diagnostic(describe_result(report.answer))
            return
        if report.status is None:
            self.show(describe_result(report.answer))
            return
        for line in describe_status(report.status):
            self.show(line)


class ReleaseShowCommand(SnipeleadCommand):
    """Shows the status of one release."""

    name = 'release show'
    description = 'Show on how many nodes a release is in force.'
    help = """Without a number, shows the current release. Exits 1 if there
is no such release, 3 if no control could confirm that it is up to date.

Example:
  snipelead release show 1 --control 127.0.0.1:7111 --json"""
    arguments = [argument('number', 'Release number.', optional=True)]
    options = [CONTROL_OPTION, JSON_OPTION]

    def run_command(self):
        """Fetch the status of the release and print it."""
        status = trio.run(self._fetch_status, self._parse_number())
        if self.wants_json:
            self.show_json(status)
        else:
            for line in describe_status(status):
                self.show(line)
        if not status.certified:
            self.show_diagnostic(NOT_CERTIFIED_WARNING)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    def _parse_number(self):
        text = self.argument('number')
        if text is None:
            return None
        if not text.isdecimal():
            raise UsageError(
                f'number must be a non-negative integer, got {text!r}'
            )
        return int(text)

    async def _fetch_status(self, number):
        async with self.open_client() as client:
            if number is None:
                number = (await client.list_releases()).current.number
            return await client.show_release(number)


class ReleaseListCommand(SnipeleadCommand):
    """Lists the most recent release notes with their outcomes."""

    name = 'release list'
    description = 'List the most recent release notes with their outcomes.'
    help = """Exits 3 if no control could confirm that it is up to date.

Example:
  snipelead release list --control 127.0.0.1:7111 --limit 50"""
    options = [
        CONTROL_OPTION,
        JSON_OPTION,
        option(
            'limit',
            description='Maximum number of notes.',
            flag=False,
            default=str(DEFAULT_LIST_LIMIT),
        ),
    ]

    def run_command(self):
        """Fetch the notes and print them."""
        releases = trio.run(self._fetch_releases, self._parse_limit())
        if self.wants_json:
            self.show_json(releases)
        else:
            self._show_text(releases)
        if not releases.certified:
            self.show_diagnostic(NOT_CERTIFIED_WARNING)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    def _show_text(self, releases):
        self.show(f'current release: {releases.current.number}')
        for note in releases.notes:
            if note.held is not None:
                self.show(f'release {note.held.number}: note {note.note}')
                continue
            self.show(f'refused: note {note.note}, {note.code}')
        if releases.remembered > len(releases.notes):
            self.show(f'{releases.remembered} notes are retained')

    def _parse_limit(self):
        text = self.option('limit')
        if not text.isdecimal() or int(text) == 0:
            raise UsageError(
                f'--limit must be an integer above 0, got {text!r}'
            )
        return int(text)

    async def _fetch_releases(self, limit):
        async with self.open_client() as client:
            return await client.list_releases(limit)
