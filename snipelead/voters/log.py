"""In-memory part of a member's replicated log."""

from snipelead.exceptions import InvariantError

__all__ = ['Log']


class Log:
    """Log entries that follow the last compacted entry, the base.

    Attributes
    ----------
    base_index, base_term : LogIndex, Term
        Index and term of the last compacted entry; 0 when there is none.
    entries : list of Entry
        Entries after the base, with consecutive indexes.
    """

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self):
        """Index of the last entry, or of the base if there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry, or of the base if there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term at an index, or None if it is not in the log.

        The base counts as part of the log.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index):
        """Return the entry at an index."""
        return self.entries[index - self.base_index - 1]

    def read(self, first, limit):
        """Return up to ``limit`` entries, starting at index ``first``."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : start + limit])

    def append(self, entries):
        """Append entries, first truncating the log where they overlap it.

        Raises
        ------
        InvariantError
            If the entries would leave a gap, or overlap the base.
        """
        if not entries:
            return
        first = entries[0].index
        if not self.base_index < first <= self.last_index + 1:
            raise InvariantError(
                f'entry {first} cannot be appended to the log, which holds'
                f' entries after {self.base_index} up to {self.last_index}'
            )
        del self.entries[first - self.base_index - 1 :]
        self.entries.extend(entries)

    def compact(self, index):
        """Drop the entries up to an index, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
