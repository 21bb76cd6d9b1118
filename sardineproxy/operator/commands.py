"""Commands that check contracts and make or show configuration versions."""

import contextlib
import json
import pathlib
import types
from typing import AsyncIterator

import aiohttp
import result

from sardineproxy import exit_status, ids
from sardineproxy.operator import applying, environment, options
from sardineproxy.process import platform, platform_http, store
from sardineproxy.version import (
    codec,
    contract_files,
    contracts,
    fetching,
    versions,
)

_APPLY_ID_BITS = 64

_Status = exit_status.ExitStatus

_STATUS_OF_KIND = types.MappingProxyType(
    {
        store.ErrorKind.UNAVAILABLE: _Status.UNAVAILABLE,
        store.ErrorKind.UNKNOWN: _Status.UNKNOWN,
        store.ErrorKind.CONFLICT: _Status.ERROR,
        store.ErrorKind.INVALID: _Status.ERROR,
    }
)

_ADVICE = types.MappingProxyType(
    {
        store.ErrorKind.UNAVAILABLE: 'Nothing was changed; try again later.',
        store.ErrorKind.UNKNOWN: (
            'The change may have taken effect; run the same command again to '
            'find out.'
        ),
        store.ErrorKind.CONFLICT: 'Nothing was changed.',
        store.ErrorKind.INVALID: 'Nothing was changed.',
    }
)


async def check(env: environment.Environment, opts: options.Options) -> _Status:
    """Check the contracts of a directory."""
    documents = _load_contracts(env, opts.directory)
    if documents is None:
        return _Status.INVALID_INPUT
    env.print_result(f'{len(documents)} contracts are valid.')
    return _Status.SUCCESS


async def diff(env: environment.Environment, opts: options.Options) -> _Status:
    """Show how a directory differs from the newest version."""
    documents = _load_contracts(env, opts.directory)
    if documents is None:
        return _Status.INVALID_INPUT
    async with _connect(opts) as client:
        newest = await applying.read_newest(client)
    if isinstance(newest, result.Err):
        return _report_error(env, newest.err_value)
    snapshot = newest.ok_value.snapshot
    lines = _format_diff(snapshot.documents, documents)
    for line in lines:
        env.print_result(line)
    env.print_result(
        f'{len(lines)} differences from version {snapshot.number}.'
    )
    return _Status.SUCCESS


async def apply(env: environment.Environment, opts: options.Options) -> _Status:
    """Make a new version from a directory."""
    documents = _load_contracts(env, opts.directory)
    if documents is None:
        return _Status.INVALID_INPUT
    assert opts.base is not None and opts.operator is not None
    request = applying.ApplyRequest(
        documents=documents,
        base=opts.base,
        operator=opts.operator,
        apply_id=f'{env.rng.getrandbits(_APPLY_ID_BITS):016x}',
    )
    async with _connect(opts) as client:
        outcome = await applying.apply(client, request)
    if isinstance(outcome, result.Err):
        return _report_error(env, outcome.err_value)
    return _report_outcome(env, request, outcome.ok_value)


async def history(
    env: environment.Environment, opts: options.Options
) -> _Status:
    """Show the latest versions, the newest last."""
    async with _connect(opts) as client:
        read = await fetching.read_head(client, strict=True)
        if isinstance(read, result.Err):
            return _report_error(env, read.err_value)
        head = read.ok_value.head
        if head is None:
            env.print_result(
                'No version exists yet; the first apply uses --base 0.'
            )
            return _Status.SUCCESS
        after = max(0, head.number - opts.limit)
        rows = await fetching.read_changes(client, after=after, strict=True)
    if isinstance(rows, result.Err):
        return _report_error(env, rows.err_value)
    for row in rows.ok_value:
        env.print_result(_format_change(row))
    return _Status.SUCCESS


def _load_contracts(
    env: environment.Environment, directory: pathlib.Path | None
) -> dict[ids.CustomerId, str] | None:
    assert directory is not None
    loaded = contract_files.load_directory(directory)
    if isinstance(loaded, result.Err):
        for sentence in loaded.err_value:
            env.print_error(sentence)
        return None
    return versions.encode_contracts(loaded.ok_value)


@contextlib.asynccontextmanager
async def _connect(
    opts: options.Options,
) -> AsyncIterator[platform_http.HttpPlatform]:
    assert opts.platform is not None
    async with aiohttp.ClientSession() as session:
        yield platform_http.HttpPlatform(
            session=session,
            host=opts.platform.host,
            port=opts.platform.port,
            timeout_s=opts.timeout_s,
        )


def _report_error(
    env: environment.Environment, error: store.StoreError
) -> _Status:
    env.print_error(f'Platform error: {error.detail}. {_ADVICE[error.kind]}')
    return _STATUS_OF_KIND[error.kind]


def _report_outcome(
    env: environment.Environment,
    request: applying.ApplyRequest,
    outcome: applying.Outcome,
) -> _Status:
    match outcome:
        case applying.Applied(head=head):
            env.print_result(
                f'Made version {head.number}, digest {head.digest}.'
            )
        case applying.Unchanged(number=number):
            env.print_result(
                f'Version {number} has exactly these contracts already.'
            )
        case applying.AlreadyApplied(head=head):
            env.print_result(
                f'Version {head.number}, made from {request.base} by '
                f'{head.operator}, has exactly these contracts already.'
            )
        case applying.NoSuchBase(newest=newest):
            env.print_error(
                f'There is no version {request.base}; the newest is {newest}.'
            )
            return _Status.INVALID_INPUT
        case applying.Conflict():
            env.print_error(_format_conflict(request, outcome))
            return _Status.CONFLICT
    return _Status.SUCCESS


def _format_conflict(
    request: applying.ApplyRequest, conflict: applying.Conflict
) -> str:
    newest = f'{conflict.newest.operator} made version {conflict.newest.number}'
    if conflict.had_same_contracts:
        return (
            f'Version {request.base + 1} had exactly these contracts, but '
            f'{newest} since then. This command changed nothing.'
        )
    first = ''
    if (
        conflict.first_change is not None
        and conflict.first_change.number != conflict.newest.number
    ):
        first = (
            f'{conflict.first_change.operator} made version '
            f'{conflict.first_change.number} and '
        )
    return (
        f'Another change came first: {first}{newest}. Nothing was changed; '
        'check history and diff, then apply with '
        f'--base {conflict.newest.number}.'
    )


def _format_diff(old: versions.Documents, new: versions.Documents) -> list[str]:
    changed, removed = versions.diff_documents(old, new)
    lines = [f'- {customer}' for customer in removed]
    for customer in sorted(changed):
        if customer not in old:
            lines.append(f'+ {customer}')
            continue
        before = json.loads(old[customer])
        after = json.loads(new[customer])
        lines.extend(
            f'~ {customer}: {key}: {before.get(key)} -> {after.get(key)}'
            for key in sorted({*before, *after})
            if before.get(key) != after.get(key)
        )
    return lines


def _format_change(row: platform.Row) -> str:
    decoded = codec.decode_change(row.body)
    if isinstance(decoded, result.Err):
        return f'{row.key}: malformed change: {decoded.err_value}'
    change = decoded.ok_value
    head = change.head
    names = ', '.join(sorted((*change.documents, *change.removed)))
    digest = head.digest[: contracts.HASH_PREFIX_DIGITS]
    return (
        f'{head.number}  {digest}  {head.operator}  apply {head.apply_id}  '
        f'set {len(change.documents)}, removed {len(change.removed)}: {names}'
    )
