"""Idempotency keys, minted ahead of use for one process and one customer.

A key reads ``sp1.VM.INCARNATION.SEQUENCE.EXPIRY.MAC``. The expiry is in
milliseconds of the minting process's own monotonic clock. The MAC covers
the other fields and the customer, so that a key is of no use to another
customer.
"""

import dataclasses
import hashlib
import hmac
import itertools
import re

from sardineproxy import ids

#: Characters of the hexadecimal MAC: 128 bits of HMAC-SHA256.
MAC_CHARACTERS = 32

#: Longest key that is looked at, in characters.
MAX_KEY_CHARACTERS = 256

MS_PER_SECOND = 1000

_PATTERN = re.compile(
    r'(?P<signed>sp1\.(?P<vm>[a-z0-9][a-z0-9-]{0,62})'
    r'\.(?P<incarnation>[0-9a-f]{1,64})'
    r'\.(?P<sequence>[0-9a-f]{1,16})'
    r'\.(?P<expiry>[0-9a-f]{1,16}))'
    r'\.(?P<mac>[0-9a-f]{32})',
    re.ASCII,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    """A well-formed key; whether it is genuine is known only to its minter."""

    #: The whole key.
    text: ids.RequestId

    vm: ids.VmId
    incarnation: ids.Incarnation
    sequence: int

    #: Seconds of the minter's monotonic clock.
    expires_at: float

    #: Part of the text that the MAC covers.
    signed: str
    mac: str


def parse(text: str) -> Key | None:
    """Return the key that ``text`` spells, or None if it is not well formed."""
    if len(text) > MAX_KEY_CHARACTERS:
        return None
    found = _PATTERN.fullmatch(text)
    if found is None:
        return None
    return Key(
        text=ids.RequestId(text),
        vm=ids.VmId(found['vm']),
        incarnation=ids.Incarnation(found['incarnation']),
        sequence=int(found['sequence'], 16),
        expires_at=int(found['expiry'], 16) / MS_PER_SECOND,
        signed=found['signed'],
        mac=found['mac'],
    )


class KeyRing:
    """Mints keys of one incarnation and recognizes them again."""

    def __init__(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        secret: bytes,
        ttl_s: float,
    ) -> None:
        """Sign with ``secret``, which no other process may hold."""
        self._vm = vm
        self._incarnation = incarnation
        self._secret = secret
        self._ttl_s = ttl_s
        self._sequence = itertools.count(1)

    def mint(self, *, customer: ids.CustomerId, now: float) -> ids.RequestId:
        """Return a new key of ``customer``."""
        sequence = next(self._sequence)
        expiry = int((now + self._ttl_s) * MS_PER_SECOND)
        signed = f'sp1.{self._vm}.{self._incarnation}.{sequence:x}.{expiry:x}'
        return ids.RequestId(f'{signed}.{self._mac(signed, customer)}')

    def is_own(self, *, key: Key) -> bool:
        """Tell whether the key names this incarnation."""
        return (key.vm, key.incarnation) == (self._vm, self._incarnation)

    def is_genuine(self, *, key: Key, customer: ids.CustomerId) -> bool:
        """Tell whether this process minted the key for ``customer``."""
        return self.is_own(key=key) and hmac.compare_digest(
            self._mac(key.signed, customer), key.mac
        )

    def _mac(self, signed: str, customer: ids.CustomerId) -> str:
        covered = f'{signed}\n{customer}'.encode()
        digest = hmac.new(self._secret, covered, hashlib.sha256).hexdigest()
        return digest[:MAC_CHARACTERS]
