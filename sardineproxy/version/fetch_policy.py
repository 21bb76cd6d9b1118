"""Decides when to ask another entry VM for a newer version."""

#: Time for which a version that others have is awaited from the store, in
#: seconds. A large version takes half a second on the slowest VMs' network
#: links, and must not be fetched from several places at once.
STORE_WAIT_S = 0.3

#: Time for which an answer is awaited before another VM is asked, in seconds.
RESPONSE_WAIT_S = 0.7


class FetchPolicy:
    """Asks one VM at a time, and only for what the store does not bring."""

    def __init__(self) -> None:
        """Start without a version that others have."""
        self._wanted = 0
        self._wanted_since: float = 0
        self._asked_at = -RESPONSE_WAIT_S

    def should_fetch(
        self,
        number: int,
        *,
        active_number: int,
        store_available: bool,
        now: float,
    ) -> bool:
        """Tell whether to ask a VM that has version ``number`` for it.

        ``active_number`` is the version in force here; true counts as asked.
        """
        if number <= active_number:
            return False
        if self._wanted <= active_number:
            self._wanted_since = now
        self._wanted = max(number, self._wanted)
        wait_s = STORE_WAIT_S if store_available else 0
        if now - self._wanted_since < wait_s:
            return False
        if now - self._asked_at < RESPONSE_WAIT_S:
            return False
        self._asked_at = now
        return True
