"""Review of a release note before it is submitted."""

from msgspec import Struct

from snipelead.releases.comparison import compare_releases
from snipelead.releases.comparison import Difference
from snipelead.releases.customer_review import review_customers
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Release
from snipelead.releases.document import ReleaseId
from snipelead.releases.findings import Finding
from snipelead.releases.findings import FindingKind
from snipelead.releases.findings import Level
from snipelead.releases.findings import make_warning
from snipelead.releases.note_application import apply_note_leniently
from snipelead.releases.note_application import make_assumed_release
from snipelead.releases.route_review import review_routes

__all__ = ['Review', 'make_refusal', 'review_note']

# Settings that snipelead itself reads; others are read because a route
# depends on them.
READ_SETTINGS = frozenset({AUTHENTICATION_SETTING})


class Review(Struct, frozen=True):
    """Result of the review of a release note.

    Parameters
    ----------
    against : ReleaseId or None
        Release that the note was applied to; None if it is not known. Its
        digest is that of the plain release, also if keys were masked.
    findings : tuple of Finding
        Errors, followed by warnings.
    differences : tuple of Difference or None
        What the note would change; None if no release is known.
    """

    against: ReleaseId | None
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    @property
    def errors(self):
        """Findings for which the release would be refused."""
        return [f for f in self.findings if f.level is Level.ERROR]

    @property
    def warnings(self):
        """Findings that do not prevent the release."""
        return [f for f in self.findings if f.level is Level.WARNING]


def make_refusal(error, entries=()):
    """Return the finding for an error of a release note.

    Parameters
    ----------
    error : SnipeleadError
        Error for which the note would be refused.
    entries : tuple of str
        Entries that it is about, if they are known.

    Returns
    -------
    Finding
    """
    return Finding(
        FindingKind.REFUSED, Level.ERROR, entries, error.message, error.code
    )


def _without_assumed(release, assumed):
    """Return a release without the entries that were only assumed."""
    tables = [
        {k: v for k, v in table.items() if assumed_table.get(k) is not v}
        for table, assumed_table in (
            (release.services, assumed.services),
            (release.routes, assumed.routes),
            (release.settings, assumed.settings),
            (release.customers, assumed.customers),
        )
    ]
    return Release(release.number, *tables)


def _review_services(release, assumed):
    used = {s for route in release.routes.values() for s in route.services}
    for name in release.services:
        # Routes that are not known may use a service that was there before.
        if name not in used and name not in assumed.services:
            yield make_warning(
                FindingKind.UNUSED_SERVICE,
                'no route sends requests to it',
                f'service {name!r}',
            )


def _find_unread_settings(release):
    read = {s for route in release.routes.values() for s in route.settings}
    return {
        name: setting
        for name, setting in release.settings.items()
        if name not in read and name not in READ_SETTINGS
    }


def _review_settings(release, assumed, base):
    # A setting that is unread in the release in force was accepted as such;
    # interfaces to other systems keep values of their own there.
    unread_before = _find_unread_settings(base)
    for name, setting in _find_unread_settings(release).items():
        if name in assumed.settings or unread_before.get(name) == setting:
            continue
        yield make_warning(
            FindingKind.UNREAD_SETTING,
            'no route depends on it, and snipelead does not read it',
            f'setting {name!r}',
        )
    setting = release.settings.get(AUTHENTICATION_SETTING)
    if setting is not None and not isinstance(setting.value, bool):
        yield make_warning(
            FindingKind.NOT_BOOLEAN,
            f'only true switches authentication on, got {setting.value!r}',
            f'setting {setting.name!r}',
        )


def _review_release(release, assumed, base, is_complete):
    yield from review_routes(release)
    yield from _review_services(release, assumed)
    yield from _review_settings(release, assumed, base)
    yield from review_customers(release, is_complete)


def review_note(note, base=None, base_id=None):
    """Review a release note.

    Parameters
    ----------
    note : ReleaseNote
        Note to review. Its API keys must be masked if those of ``base`` are.
    base : Release or None
        Release in force. Without it, the entries that the note requires are
        assumed to exist, and only entries in the note are reviewed.
    base_id : ReleaseId or None
        Identity of the release in force, if keys in ``base`` are masked.

    Returns
    -------
    Review
    """
    is_complete = base is not None
    current = base if is_complete else make_assumed_release(note)
    applied = apply_note_leniently(current, note)
    findings = [make_refusal(r.error, r.entries) for r in applied.refusals]
    assumed = EMPTY_RELEASE if is_complete else current
    known = _without_assumed(applied.release, assumed)
    findings += _review_release(
        known, assumed, base or EMPTY_RELEASE, is_complete
    )
    if not is_complete:
        return Review(None, tuple(findings))
    return Review(
        base_id or base.release_id,
        tuple(findings),
        compare_releases(base, applied.release),
    )
