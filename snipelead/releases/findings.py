"""Findings of the review of a release."""

from enum import Enum

from msgspec import Struct

__all__ = ['Finding', 'FindingKind', 'Level', 'make_warning']


class Level(Enum):
    """Level of a finding.

    ``ERROR``: the release would be refused. ``WARNING``: it would be
    accepted, but part of it has no effect or contradicts another part.
    """

    ERROR = 'error'
    WARNING = 'warning'


class FindingKind(Enum):
    """Kind of a finding."""

    REFUSED = 'refused'
    SHADOWED_ROUTE = 'shadowed-route'
    UNMATCHABLE_HOST = 'unmatchable-host'
    UNMATCHABLE_PREFIX = 'unmatchable-prefix'
    UNMATCHABLE_METHOD = 'unmatchable-method'
    ZERO_WEIGHTS = 'zero-weights'
    SERVICE_OUTSIDE_SPLIT = 'service-outside-split'
    UNUSED_SERVICE = 'unused-service'
    UNREAD_SETTING = 'unread-setting'
    NOT_BOOLEAN = 'not-boolean'
    NO_KEYS = 'no-keys'
    KEYS_NOT_CHECKED = 'keys-not-checked'
    LATENCY_ABOVE_LIMIT = 'latency-above-limit'
    DEADLINE_ABOVE_TIMEOUT = 'deadline-above-timeout'
    TIMEOUT_ABOVE_MAXIMUM = 'timeout-above-maximum'
    REPEATABLE_ONCE = 'repeatable-once'
    RATE_WITHOUT_BURST = 'rate-without-burst'
    BURST_WITHOUT_RATE = 'burst-without-rate'
    FOREIGN_PRIORITY = 'foreign-priority'


class Finding(Struct, frozen=True, omit_defaults=True):
    """One result of a review.

    Parameters
    ----------
    kind : FindingKind
        What was found.
    level : Level
        Whether the release would be refused because of it.
    entries : tuple of str
        Entries that it is about, such as ``route 'levels'``.
    message : str
        Reason in one sentence; never contains an API key.
    code : str
        Code of the refusal; empty for warnings.
    """

    kind: FindingKind
    level: Level
    entries: tuple[str, ...]
    message: str
    code: str = ''


def make_warning(kind, message, *entries):
    """Return a warning about entries, the first of which it begins with."""
    return Finding(kind, Level.WARNING, entries, f'{entries[0]}: {message}')
