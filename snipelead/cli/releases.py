"""Commands about releases."""

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
from snipelead.cli.fleet import UNPROVED
from snipelead.exceptions import SnipeleadError
from snipelead.operators.client import UNKNOWN_OUTCOME_ADVICE
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.operators.messages import SubmissionResult
from snipelead.releases.changes import check_note
from snipelead.releases.note import load_note
from snipelead.types import OutcomeKind

__all__ = [
    'ReleaseListCommand',
    'ReleaseShowCommand',
    'ReleaseSubmitCommand',
    'ReleaseValidateCommand',
]

WAIT_S = 60
POLL_S = 0.1
LISTED_NOTES = 20

_FILE = argument('file', 'Release note (YAML).')
_EXIT_CODE_BY_OUTCOME = {
    OutcomeKind.ACCEPTED: ExitCode.OK,
    OutcomeKind.REFUSED: ExitCode.REFUSED,
    OutcomeKind.UNKNOWN: ExitCode.UNKNOWN,
}


def describe_status(status):
    """Return lines that describe a ReleaseStatus."""
    where = f'{status.confirmed} of {status.nodes} live nodes'
    number = status.held.number
    if number == 0:
        yield f'no release has been accepted yet; {status.nodes} live nodes'
        return
    match status.state:
        case ReleaseState.SUPERSEDED:
            yield (
                f'release {number}: superseded by release'
                f' {status.current.number}; passed on {where}'
            )
        case ReleaseState.IN_FORCE:
            yield f'release {number}: in force on all {status.nodes} nodes'
        case _:
            yield f'release {number}: accepted, in force on {where}'
    if status.note is not None:
        yield f'note: {status.note}'
    for node in status.lagging:
        yield (
            f'node {node.node_id} in {node.zone} lags: it runs release'
            f' {node.held.number}, heard of {node.age_ms} ms ago'
        )
    for node_id in status.silent_nodes:
        yield f'node {node_id} is silent and counts as gone'
    for control_id in status.unreachable_controls:
        yield f'control {control_id} cannot be reached; its nodes are unknown'
    for control_id in status.warming_controls:
        yield f'control {control_id} has just started; nodes may be missing'


def describe_progress(status):
    """Return one line on a release that is not yet in force everywhere."""
    first = next(describe_status(status))
    waits = [f'{c} cannot be reached' for c in status.unreachable_controls]
    waits += [f'{c} has just started' for c in status.warming_controls]
    return '; '.join([first, *waits])


def _is_settled(status):
    return status.in_force or status.state is ReleaseState.SUPERSEDED


def describe_answer(answer):
    """Return the line that describes a SubmissionResult."""
    match answer.outcome:
        case OutcomeKind.ACCEPTED:
            return f'accepted: release {answer.held.number}'
        case OutcomeKind.REFUSED:
            return (
                f'refused, nothing took effect: {answer.code}:'
                f' {answer.message}'
            )
        case _:
            return (
                f'{UNKNOWN_OUTCOME_ADVICE} ({answer.code}: {answer.message})'
            )


class CheckedNote(Struct, frozen=True):
    """A note that passed the checks that need no control."""

    note: str
    release: int
    changes: int
    needs: tuple[str, ...]


class SubmitReport(Struct, frozen=True, omit_defaults=True):
    """JSON form of a submission and of the wait that followed."""

    answer: SubmissionResult
    status: ReleaseStatus | None = None


class ReleaseValidateCommand(SnipeleadCommand):
    """Checks a release note offline."""

    name = 'release validate'
    description = 'Check a release note without submitting it.'
    help = """Needs no control. What the note takes for granted, such as a
service added by an earlier release, is listed and checked on submission.

Example:
  snipelead release validate examples/dozators.yaml"""
    arguments = [_FILE]
    options = [JSON_OPTION]

    def run_checked(self):
        """Check the note."""
        note = load_note(self.read_text('file'))
        needs = check_note(note)
        if self.wants_json:
            count = len(note.changes)
            self.show_json(CheckedNote(note.note, note.release, count, needs))
            return
        self.show(
            f'release {note.release}, note {note.note}:'
            f' {len(note.changes)} valid changes'
        )
        for need in needs:
            self.show(f'the current release must hold {need}')


class ReleaseSubmitCommand(SnipeleadCommand):
    """Submits a release note."""

    name = 'release submit'
    description = 'Submit a release note and print its outcome.'
    help = f"""Exit codes: 0 accepted (and in force, with --wait); 1 refused,
nothing took effect; 3 {UNKNOWN_OUTCOME_ADVICE}.
When an answer is lost, the same note goes to the next control; it is
applied once.

Examples:
  snipelead release submit examples/dozators.yaml --wait \\
    --control 127.0.0.1:7111 --control 127.0.0.1:7121
  SNIPELEAD_CONTROLS=127.0.0.1:7111 snipelead release submit note.yaml"""
    arguments = [_FILE]
    options = [
        CONTROL_OPTION,
        JSON_OPTION,
        option('wait', description='Wait until in force on all nodes.'),
        option(
            'timeout',
            description='Longest wait in seconds.',
            flag=False,
            default=str(WAIT_S),
        ),
    ]

    def run_checked(self):
        """Submit the note; with ``--wait``, follow it until in force."""
        timeout_s = self.seconds('timeout')
        text = self.read_text('file')
        note = load_note(text)
        return trio.run(self._submit, text, note.note, timeout_s)

    async def _submit(self, text, note_id, timeout_s):
        async with self.open_client() as client:
            answer = await client.submit(text, note_id)
            if answer.outcome is not OutcomeKind.ACCEPTED:
                return self._report(SubmitReport(answer))
            if not self.option('wait'):
                return self._report(SubmitReport(answer))
            self.show_progress(describe_answer(answer))
            with trio.move_on_after(timeout_s):
                status = await self._wait(client, answer.held)
                return self._report(SubmitReport(answer, status))
        raise NotInForceError(
            f'release {answer.held.number} is accepted and never reverts, but'
            f' is not known to be in force everywhere after {timeout_s:g} s;'
            ' read it back by release show'
        )

    async def _wait(self, client, held):
        """Follow an accepted release until it is in force or superseded.

        A control that fails meanwhile changes nothing about the release, so
        failed reads are shown and tried again.
        """
        shown = None
        while True:
            try:
                status = await client.show_release(held.number)
            except SnipeleadError as error:
                progress = str(error)
            else:
                if _is_settled(status):
                    return status
                progress = describe_progress(status)
            if progress != shown:
                self.show_progress(progress)
                shown = progress
            await trio.sleep(POLL_S)

    def _report(self, report):
        if self.wants_json:
            self.show_json(report)
        else:
            self._describe(report)
        return _EXIT_CODE_BY_OUTCOME[report.answer.outcome]

    def _describe(self, report):
        if report.answer.outcome is not OutcomeKind.ACCEPTED:
            self.show_progress(describe_answer(report.answer))
            return
        if report.status is None:
            self.show(describe_answer(report.answer))
            return
        for line in describe_status(report.status):
            self.show(line)


class ReleaseShowCommand(SnipeleadCommand):
    """Reads back one release."""

    name = 'release show'
    description = 'Show on how many nodes a release is in force.'
    help = """Without a number, shows the current release. Exits 1 when there
is no such release, 3 when no control could prove that it is current.

Example:
  snipelead release show 1 --control 127.0.0.1:7111 --json"""
    arguments = [argument('number', 'Release number.', optional=True)]
    options = [CONTROL_OPTION, JSON_OPTION]

    def run_checked(self):
        """Read the release's status and print it."""
        status = trio.run(self._read, self._number())
        if self.wants_json:
            self.show_json(status)
        else:
            for line in describe_status(status):
                self.show(line)
        if not status.certified:
            self.show_progress(UNPROVED)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    def _number(self):
        given = self.argument('number')
        if given is None:
            return None
        if not given.isdecimal():
            raise UsageError(f'a release number is digits, got {given!r}')
        return int(given)

    async def _read(self, number):
        async with self.open_client() as client:
            if number is None:
                number = (await client.list_releases()).current.number
            return await client.show_release(number)


class ReleaseListCommand(SnipeleadCommand):
    """Lists recent notes with their outcomes."""

    name = 'release list'
    description = 'List recent release notes with their outcomes.'
    help = """Exits 3 when no control could prove that it is current.

Example:
  snipelead release list --control 127.0.0.1:7111 --limit 50"""
    options = [
        CONTROL_OPTION,
        JSON_OPTION,
        option(
            'limit',
            description='How many notes, the newest first.',
            flag=False,
            default=str(LISTED_NOTES),
        ),
    ]

    def run_checked(self):
        """Read the notes and print them."""
        releases = trio.run(self._read, self._limit())
        if self.wants_json:
            self.show_json(releases)
        else:
            self._describe(releases)
        if not releases.certified:
            self.show_progress(UNPROVED)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    def _describe(self, releases):
        self.show(f'current release: {releases.current.number}')
        for note in releases.notes:
            if note.held is not None:
                self.show(f'release {note.held.number}: note {note.note}')
                continue
            self.show(f'refused: note {note.note}, {note.code}')
        if releases.remembered > len(releases.notes):
            self.show(f'{releases.remembered} notes are remembered')

    def _limit(self):
        given = self.option('limit')
        if not given.isdecimal() or int(given) == 0:
            raise UsageError(f'--limit must be above 0, got {given!r}')
        return int(given)

    async def _read(self, limit):
        async with self.open_client() as client:
            return await client.list_releases(limit)
