"""Command that checks a release note and what it would change."""

import os
from pathlib import Path

from cleo.helpers import argument
from cleo.helpers import option
from msgspec import Struct
import trio

from snipelead.cli.command import CONTROL_OPTION
from snipelead.cli.command import CONTROLS_VARIABLE
from snipelead.cli.command import ExitCode
from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import UsageError
from snipelead.cli.fleet import NOT_CERTIFIED_WARNING
from snipelead.exceptions import SnipeleadError
from snipelead.releases.comparison import DifferenceKind
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.findings import Level
from snipelead.releases.masking import mask_note
from snipelead.releases.note import find_note_errors
from snipelead.releases.note import load_note
from snipelead.releases.note_application import apply_note
from snipelead.releases.review import make_refusal
from snipelead.releases.review import Review
from snipelead.releases.review import review_note

__all__ = ['ReleaseCheckCommand']


class CheckReport(Struct, frozen=True):
    """JSON output of a check.

    Parameters
    ----------
    note : str or None
        Id of the note; None if it cannot be read.
    release : int or None
        Number of the release that it creates.
    errors, warnings : int
        Numbers of findings.
    certified : bool or None
        Whether a majority confirmed the release in force; None if it was not
        read from the controls.
    review : Review
        Findings and differences.
    """

    note: str | None
    release: int | None
    errors: int
    warnings: int
    certified: bool | None
    review: Review


def _describe_difference(difference):
    sign = {DifferenceKind.ADDED: '+', DifferenceKind.REMOVED: '-'}.get(
        difference.kind, '~'
    )
    details = [f'{v.field}: {v.old!r} -> {v.new!r}' for v in difference.values]
    if difference.keys_added:
        details.append(f'{difference.keys_added} API keys added')
    if difference.keys_removed:
        details.append(f'{difference.keys_removed} API keys removed')
    line = f'{sign} {difference.table} {difference.name!r}'
    return f'{line}: {"; ".join(details)}' if details else line


def describe_review(review):
    """Yield the lines that describe a Review."""
    for finding in review.findings:
        label = finding.kind.value
        if finding.level is Level.ERROR:
            label = finding.code
        yield f'{finding.level.value} {label}: {finding.message}'
    yield (f'{len(review.errors)} errors, {len(review.warnings)} warnings')
    if review.differences is None:
        yield 'not compared with a release in force'
        return
    yield (
        f'{len(review.differences)} entries differ from release'
        f' {review.against.number}'
    )
    for difference in review.differences:
        yield _describe_difference(difference)


class ReleaseCheckCommand(SnipeleadCommand):
    """Checks a release note and shows what it would change."""

    name = 'release check'
    description = 'Check a release note against the release in force.'
    help = """Prints all errors, warnings about entries without effect or with
contradictory limits, and the differences from the release in force, which is
read from the controls. API keys are never printed, and the controls return
only digests of them. Without a control that responds, the note is checked
alone. Exits 1 on errors; with --strict, on warnings too.

Examples:
  snipelead release check note.yaml --control 127.0.0.1:7111
  snipelead release check note.yaml --against first.yaml --strict"""
    arguments = [argument('file', 'Release note (YAML).')]
    options = [
        option(
            'against',
            description='Note that built the release in force from nothing;'
            ' may be repeated for the notes after it, in their order.',
            flag=False,
            multiple=True,
        ),
        CONTROL_OPTION,
        JSON_OPTION,
        option('strict', description='Exit 1 on warnings too.'),
    ]

    def run_command(self):
        """Review the note and print the findings and differences."""
        text = self.read_file_argument('file')
        errors = find_note_errors(text)
        if errors:
            findings = tuple(make_refusal(error) for error in errors)
            return self._show_report(None, Review(None, findings), None)
        note = load_note(text)
        paths = self.option('against')
        if paths:
            review = review_note(note, self._load_base(paths))
            return self._show_report(note, review, None)
        contents = self._fetch_contents()
        if contents is None:
            return self._show_report(note, review_note(note), None)
        if not contents.certified:
            self.show_diagnostic(NOT_CERTIFIED_WARNING)
        # Keys are compared by the digests that the control returned.
        masked_note = mask_note(note, bytes.fromhex(contents.salt))
        review = review_note(masked_note, contents.to_release(), contents.held)
        return self._show_report(note, review, contents.certified)

    def _load_base(self, paths):
        release = EMPTY_RELEASE
        for path in paths:
            try:
                release = apply_note(release, load_note(_read_file(path)))
            except SnipeleadError as error:
                raise UsageError(f'--against {path}: {error}') from error
        return release

    def _fetch_contents(self):
        """Return the contents of the release in force, None if unknown."""
        if not self.option('control') and not os.environ.get(
            CONTROLS_VARIABLE
        ):
            return None
        # An invalid address is an error, unlike a control that is down.
        self.get_control_addresses()
        try:
            return trio.run(self._fetch)
        except SnipeleadError as error:
            self.show_diagnostic(
                f'the release in force cannot be read: {error}'
            )
            return None

    async def _fetch(self):
        async with self.open_client() as client:
            return await client.fetch_contents()

    def _show_report(self, note, review, certified):
        if self.wants_json:
            self.show_json(
                CheckReport(
                    note and note.note,
                    note and note.release,
                    len(review.errors),
                    len(review.warnings),
                    certified,
                    review,
                )
            )
        else:
            for line in describe_review(review):
                self.show(line)
        if review.errors or (self.option('strict') and review.warnings):
            return ExitCode.REFUSED
        return ExitCode.OK


def _read_file(path):
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f'cannot read it: {error}') from error
