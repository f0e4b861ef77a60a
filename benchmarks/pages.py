"""Generated sections of a Markdown page."""

import re

__all__ = ['replace_section']


def replace_section(text, name, lines):
    """Replace the content between the markers of a section.

    Parameters
    ----------
    text : str
        The page, with ``<!-- NAME begin -->`` and ``<!-- NAME end -->``.
    name : str
        Name of the section.
    lines : sequence of str
        New content of the section.

    Returns
    -------
    str

    Raises
    ------
    LookupError
        If the page does not have exactly one such section.
    """
    begin, end = f'<!-- {name} begin -->', f'<!-- {name} end -->'
    pattern = re.compile(
        f'{re.escape(begin)}.*?{re.escape(end)}', flags=re.DOTALL
    )
    content = '\n'.join([begin, *lines, end])
    replaced, count = pattern.subn(lambda match: content, text)
    if count != 1:
        raise LookupError(f'the page must have exactly one section {name!r}')
    return replaced
