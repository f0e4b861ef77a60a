"""Text formats of durations and release numbers on the platform."""

import re

from snipelead.types import ReleaseNumber

__all__ = [
    'decode_duration_ms',
    'decode_release_number',
    'encode_duration',
    'encode_release_number',
]

_DURATION = re.compile(r'(-?\d+(?:\.\d+)?)(ms|s)')
_RELEASE_NUMBER = re.compile('[0-9a-fA-F]{8}')
# Largest integer up to which floats are exact.
MAX_DURATION_MS = 2**53
_MS_BY_UNIT = {'ms': 1, 's': 1_000}


def decode_duration_ms(text):
    """Decode a duration.

    Parameters
    ----------
    text : str
        Decimal number followed by its unit, ``ms`` or ``s``.

    Returns
    -------
    int
        Duration in milliseconds.

    Raises
    ------
    ValueError
        If the text does not have this format or the number is out of range.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(
            'duration must be a decimal number followed by ms or s, got'
            f' {text!r}'
        )
    number, unit = match.groups()
    duration_ms = float(number) * _MS_BY_UNIT[unit]
    if abs(duration_ms) > MAX_DURATION_MS:
        raise ValueError(
            f'duration must be at most {MAX_DURATION_MS} ms, got {text:.20}...'
        )
    return round(duration_ms)


def encode_duration(duration_ms):
    """Encode a duration given in milliseconds, for example ``'1500ms'``."""
    return f'{duration_ms}ms'


def decode_release_number(text):
    """Decode a release number.

    Parameters
    ----------
    text : str
        Eight hexadecimal digits.

    Returns
    -------
    ReleaseNumber

    Raises
    ------
    ValueError
        If the text is not eight hexadecimal digits.
    """
    if _RELEASE_NUMBER.fullmatch(text) is None:
        raise ValueError(
            f'release number must be eight hexadecimal digits, got {text!r}'
        )
    return ReleaseNumber(int(text, 16))


def encode_release_number(number):
    """Encode a release number as eight lower-case hexadecimal digits."""
    return f'{number:08x}'
