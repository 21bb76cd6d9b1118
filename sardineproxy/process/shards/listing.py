"""Whether a worker's entry in the platform's list allows new runs on it.

=============  ==============  =============  =============  ==============
State          unchanged       changed        missing        OTHER_WORKER
=============  ==============  =============  =============  ==============
LISTED         LISTED          LISTED         UNLISTED       MISADDRESSED
UNLISTED       LISTED          LISTED         UNLISTED       UNLISTED
MISADDRESSED   MISADDRESSED    LISTED         UNLISTED       MISADDRESSED
=============  ==============  =============  =============  ==============

The columns are the entry in the newest list (the same as before, different or
missing) and a response from another worker at the worker's address. Only a
changed entry may have another address. An entry that returns unchanged
belongs to the same process, which kept its runs.
"""

import enum
import types


class Listing(enum.Enum):
    """State of a worker's entry."""

    LISTED = 'listed'

    #: The newest list does not contain the worker.
    UNLISTED = 'unlisted'

    #: Another worker responds at the address of the entry.
    MISADDRESSED = 'misaddressed'


class Event(enum.Enum):
    """A newer list, or a response that concerns the entry."""

    ENTRY_UNCHANGED = 'unchanged'
    ENTRY_CHANGED = 'changed'
    ENTRY_MISSING = 'missing'

    #: Another worker has responded at the address of the entry.
    OTHER_WORKER = 'other_worker'


_TRANSITIONS = types.MappingProxyType(
    {
        (Listing.UNLISTED, Event.ENTRY_UNCHANGED): Listing.LISTED,
        (Listing.LISTED, Event.OTHER_WORKER): Listing.MISADDRESSED,
    }
)

#: Events that lead to the same state from each state.
_RESULTS = types.MappingProxyType(
    {
        Event.ENTRY_CHANGED: Listing.LISTED,
        Event.ENTRY_MISSING: Listing.UNLISTED,
    }
)


def advance(listing: Listing, event: Event) -> Listing:
    """Return the state of an entry after an event."""
    return _RESULTS.get(event) or _TRANSITIONS.get((listing, event), listing)
