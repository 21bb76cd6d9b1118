"""Policy for requesting newer versions from other entry VMs."""

#: Time for which a process that can read the store waits for an announced
#: version from there before requesting it from another VM, in seconds. A large
#: version takes half a second on the network links of the slowest VMs and must
#: not be fetched from several sources at once.
STORE_WAIT_S = 0.3

#: Time to wait for a response before requesting the version from another VM,
#: in seconds.
RESPONSE_WAIT_S = 0.7


class FetchPolicy:
    """Allows a request to one VM at a time, if the store is too slow."""

    def __init__(self) -> None:
        """Start without an announced version."""
        self._newest_announced = 0
        self._pending_since: float = 0
        self._last_request_at = -RESPONSE_WAIT_S

    def should_fetch(
        self,
        number: int,
        *,
        active_number: int,
        store_available: bool,
        now: float,
    ) -> bool:
        """Return whether to request version ``number`` from a VM that has it.

        ``active_number`` is the active version of this process. The caller
        must send the request if the result is true.
        """
        if number <= active_number:
            return False
        if self._newest_announced <= active_number:
            self._pending_since = now
        self._newest_announced = max(number, self._newest_announced)
        wait_s = STORE_WAIT_S if store_available else 0
        if now - self._pending_since < wait_s:
            return False
        if now - self._last_request_at < RESPONSE_WAIT_S:
            return False
        self._last_request_at = now
        return True
