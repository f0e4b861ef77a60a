"""Entries of the replicated log that a member holds in memory."""

from snipelead.exceptions import InvariantError

__all__ = ['Log']


class Log:
    """Entries after a base that was compacted away.

    Attributes
    ----------
    base_index, base_term : LogIndex, Term
        Last compacted entry; 0 when there is none.
    entries : list of Entry
        Entries after the base, without gaps.
    """

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self):
        """Index of the newest entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry or of the base, else None."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index):
        """Return the entry at an index."""
        return self.entries[index - self.base_index - 1]

    def read(self, first, limit):
        """Return up to ``limit`` entries from index ``first`` on."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : start + limit])

    def append(self, entries):
        """Add entries; they replace what they overlap.

        Raises
        ------
        InvariantError
            If there would be a gap.
        """
        if not entries:
            return
        first = entries[0].index
        if not self.base_index < first <= self.last_index + 1:
            raise InvariantError(
                f'entry {first} does not continue the log from'
                f' {self.base_index} to {self.last_index}'
            )
        del self.entries[first - self.base_index - 1 :]
        self.entries.extend(entries)

    def compact(self, index):
        """Forget the entries up to an index."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
