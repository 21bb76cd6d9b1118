"""Idempotency keys, issued before use by one process for one customer.

A key has the form ``sp1.VM.INCARNATION.SEQUENCE.EXPIRY.MAC``. The expiry is in
milliseconds of the issuer's own monotonic clock. The MAC covers the other
fields and the customer, so that another customer cannot use the key.
"""

import dataclasses
import hashlib
import hmac
import itertools
import re

from sardineproxy import ids, problems, verdicts

#: Length of the hexadecimal MAC: 128 bits of HMAC-SHA256.
MAC_CHARACTERS = 32

#: Maximum length of a key, in characters.
MAX_KEY_CHARACTERS = 256

#: Retry-After when the issuer of a key is unreachable, in seconds.
RETRY_AFTER_S = 1

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
    """A well-formed key; only its issuer can check that it is genuine."""

    #: The complete key.
    text: ids.RequestId

    vm: ids.VmId
    incarnation: ids.Incarnation
    sequence: int

    #: Seconds of the issuer's monotonic clock.
    expires_at: float

    #: Part of the text that the MAC covers.
    signed: str
    mac: str


def parse(text: str) -> Key | None:
    """Parse a key; return None if it is not well formed."""
    if len(text) > MAX_KEY_CHARACTERS:
        return None
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    return Key(
        text=ids.RequestId(text),
        vm=ids.VmId(match['vm']),
        incarnation=ids.Incarnation(match['incarnation']),
        sequence=int(match['sequence'], 16),
        expires_at=int(match['expiry'], 16) / MS_PER_SECOND,
        signed=match['signed'],
        mac=match['mac'],
    )


class KeyIssuer:
    """Issues and verifies the keys of one incarnation."""

    def __init__(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        secret: bytes,
        ttl_s: float,
    ) -> None:
        """Create an issuer; no other process may have the same ``secret``."""
        self._vm = vm
        self._incarnation = incarnation
        self._secret = secret
        self._ttl_s = ttl_s
        self._sequence = itertools.count(1)

    def issue(self, *, customer: ids.CustomerId, now: float) -> ids.RequestId:
        """Return a new key of ``customer``."""
        sequence = next(self._sequence)
        expiry = int((now + self._ttl_s) * MS_PER_SECOND)
        signed = f'sp1.{self._vm}.{self._incarnation}.{sequence:x}.{expiry:x}'
        return ids.RequestId(f'{signed}.{self._mac(signed, customer)}')

    def is_own(self, *, key: Key) -> bool:
        """Return whether the key names this incarnation."""
        return (key.vm, key.incarnation) == (self._vm, self._incarnation)

    def is_genuine(self, *, key: Key, customer: ids.CustomerId) -> bool:
        """Return whether this process issued the key for ``customer``."""
        return self.is_own(key=key) and hmac.compare_digest(
            self._mac(key.signed, customer), key.mac
        )

    def _mac(self, signed: str, customer: ids.CustomerId) -> str:
        mac_input = f'{signed}\n{customer}'.encode()
        digest = hmac.new(self._secret, mac_input, hashlib.sha256).hexdigest()
        return digest[:MAC_CHARACTERS]


def malformed_key() -> problems.Problem:
    """Return the refusal of a text that is not a well-formed key."""
    return problems.refusal(
        code='malformed_key',
        status=400,
        detail='Idempotency keys are minted by POST /v1/keys.',
    )


def unknown_key() -> problems.Problem:
    """Return the refusal of a key that was not issued for the customer."""
    return problems.refusal(
        code='unknown_key',
        status=404,
        detail='This VM minted no such key for the customer.',
    )


def key_expired() -> problems.Problem:
    """Return the problem for a key whose record may have been dropped."""
    return problems.outcome_unknown(
        code='key_expired',
        status=410,
        detail='The key has expired and never starts work again.',
    )


def key_reused() -> problems.Problem:
    """Return the refusal of another submission with a used key.

    Its verdict applies to the key: the caller may have serialized the same
    submission differently and must not conclude that it did not run.
    """
    return problems.outcome_unknown(
        code='key_reused',
        status=422,
        detail=(
            'The key was used for a submission with another body. This one '
            'is not run; the earlier one may have run.'
        ),
    )


def not_submitted() -> problems.Problem:
    """Return the problem for a key without a submission so far."""
    return problems.outcome_unknown(
        code='not_submitted',
        status=404,
        detail=(
            'Nothing has arrived under this key so far; a submission may be '
            'on its way. DELETE keeps it from starting.'
        ),
        final=False,
    )


def issuer_gone() -> problems.Problem:
    """Return the problem for a key whose incarnation has ended."""
    return problems.outcome_unknown(
        code='minter_gone',
        status=410,
        detail='The process that minted the key has ended.',
    )


def issuer_unreachable() -> problems.Problem:
    """Return the problem for a key whose issuer could not be reached."""
    return problems.outcome_unknown(
        code='minter_unreachable',
        status=503,
        detail='The process that minted the key cannot be reached now.',
        retry_after_s=RETRY_AFTER_S,
        final=False,
    )


def too_large_to_forward() -> problems.Problem:
    """Return the refusal of a submission too large for a peer message."""
    return problems.outcome_unknown(
        code='too_large_to_forward',
        status=413,
        detail='Submit this body at the VM that minted the key.',
        final=False,
    )


def malformed_forward() -> problems.Problem:
    """Return the problem for a forwarded request that could not be decoded."""
    return problems.outcome_unknown(
        code='malformed_forward',
        status=502,
        detail='The process that minted the key could not read the forward.',
        final=False,
    )


def without_issuer_verdict(
    problem: problems.Problem, key_text: str | None
) -> problems.Problem:
    """Return the problem without a verdict that only the issuer can state.

    Only the issuer of a well-formed key can state that its work did not run.
    """
    if key_text is None or parse(key_text) is None:
        return problem
    return dataclasses.replace(
        problem, verdict=verdicts.Verdict.MAY_HAVE_RUN, final=False
    )
