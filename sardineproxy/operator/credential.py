"""Command that hashes a credential for a contract."""

import hashlib

from sardineproxy import exit_status
from sardineproxy.operator import environment, options

#: Longest credential, which leaves space for other headers in the 16 KiB that
#: all headers may have.
MAX_CHARS = 4096

#: Shorter credentials can be recovered from their hashes by brute force.
MIN_SAFE_CHARS = 20


async def hash_credential(
    env: environment.Environment, opts: options.Options
) -> exit_status.ExitStatus:
    """Print the hash of the credential on the first line of standard input."""
    credential = env.stdin.readline(MAX_CHARS + 2).rstrip('\r\n')
    is_sendable = credential.isascii() and credential.isprintable()
    if not is_sendable or ' ' in credential:
        env.print_error(
            'The credential has characters that an Authorization header '
            'cannot contain; use printable ASCII without spaces.'
        )
        return exit_status.ExitStatus.INVALID_INPUT
    if not 1 <= len(credential) <= MAX_CHARS:
        env.print_error(
            f'Expected a line of 1 to {MAX_CHARS} characters on standard input.'
        )
        return exit_status.ExitStatus.INVALID_INPUT
    if len(credential) < MIN_SAFE_CHARS:
        env.print_error(
            f'Warning: credentials of under {MIN_SAFE_CHARS} characters can '
            'be guessed from their hashes.'
        )
    env.print_result(hashlib.sha256(credential.encode()).hexdigest())
    return exit_status.ExitStatus.SUCCESS
