"""Read a contract directory: one ``*.jsonc`` file for each customer."""

import difflib
import json
import pathlib
from typing import Any, Mapping

import jsonc
import pydantic
import result

from sardineproxy import json_text
from sardineproxy.version import contracts

#: Largest contract file, in bytes.
MAX_FILE_BYTES = 65_536

#: Longest piece of a found text that a sentence repeats.
_MAX_FOUND_CHARS = 60

_FIELDS = contracts.Contract.model_json_schema()['properties']
_HASH_PLACE = 'credential_sha256'
_ACCEPTED_NAME = (
    'a name of 1 to 63 lower-case letters, digits and hyphens that does not '
    'start with a hyphen'
)
_ACCEPTED_HASHES = (
    'a list of 1 to 4 SHA-256 hashes of 64 lower-case hexadecimal digits, as '
    'hash-credential prints them'
)

Faults = tuple[str, ...]
Contracts = Mapping[str, contracts.Contract]


def load_directory(
    directory: pathlib.Path,
) -> result.Result[tuple[contracts.Contract, ...], Faults]:
    """Read and check all contracts; the errors are one sentence each."""
    paths = _find_files(directory)
    if isinstance(paths, result.Err):
        return paths
    parsed: dict[str, contracts.Contract] = {}
    faults: list[str] = []
    for path in paths.ok_value:
        contract = _load_file(path)
        if isinstance(contract, result.Err):
            faults.extend(contract.err_value)
        else:
            parsed[path.name] = contract.ok_value
    faults.extend(contracts.find_duplicates(parsed))
    if faults:
        return result.Err(tuple(faults))
    return result.Ok(tuple(parsed.values()))


def parse_text(
    name: str, text: str
) -> result.Result[contracts.Contract, Faults]:
    """Parse the contract of the file ``name`` and check its limits."""
    size = len(text.encode())
    if size > MAX_FILE_BYTES:
        return _fault(
            name, 'size', f'{size} bytes', f'at most {MAX_FILE_BYTES} bytes'
        )
    repeated: list[str] = []
    try:
        document = jsonc.loads(
            json_text.blank_comments(text),
            object_pairs_hook=lambda pairs: _collect(pairs, repeated),
        )
    except json.JSONDecodeError as exc:
        place = f'line {exc.lineno} column {exc.colno}'
        return _fault(name, place, f'"{exc.msg}"', 'JSON with comments')
    except (ValueError, RecursionError) as exc:
        return _fault(name, 'text', f'"{exc}"', 'JSON with comments')
    if not isinstance(document, dict):
        found = type(document).__name__
        return _fault(name, 'text', f'a {found}', 'one JSON object')
    faults = [
        _sentence(name, key, 'the key more than once', 'each key once')
        for key in repeated
    ]
    try:
        contract = contracts.Contract.model_validate(document)
    except pydantic.ValidationError as exc:
        faults.extend(_describe(name, error) for error in exc.errors())
        return result.Err(tuple(faults))
    faults.extend(
        f'{name}: {sentence}'
        for sentence in contracts.find_unsatisfiable_limits(contract)
    )
    return result.Err(tuple(faults)) if faults else result.Ok(contract)


def _find_files(
    directory: pathlib.Path,
) -> result.Result[list[pathlib.Path], Faults]:
    try:
        members = sorted(directory.iterdir())
    except OSError as exc:
        cause = exc.strerror
        return _fault(str(directory), 'directory', f'"{cause}"', 'a directory')
    wrong = [path.name for path in members if path.suffix == '.json']
    if wrong:
        return _fault(wrong[0], 'file name', 'the ending .json', '.jsonc')
    paths = [path for path in members if path.suffix == '.jsonc']
    if not 1 <= len(paths) <= contracts.MAX_CONTRACTS:
        return _fault(
            str(directory),
            'directory',
            f'{len(paths)} files *.jsonc',
            f'1 to {contracts.MAX_CONTRACTS}, one for each customer',
        )
    return result.Ok(paths)


def _load_file(
    path: pathlib.Path,
) -> result.Result[contracts.Contract, Faults]:
    try:
        with path.open('rb') as stream:
            body = stream.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        return _fault(path.name, 'file', f'"{exc.strerror}"', 'a readable file')
    try:
        text = body.decode()
    except UnicodeDecodeError as exc:
        return _fault(
            path.name, f'byte {exc.start}', 'bytes of another code', 'UTF-8'
        )
    return parse_text(path.name, text)


def _collect(
    pairs: list[tuple[str, Any]], repeated: list[str]
) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, member in pairs:
        if key in document and key not in repeated:
            repeated.append(key)
        document[key] = member
    return document


def _describe(name: str, error: Any) -> str:
    key = str(error['loc'][0])
    place = '.'.join(str(part) for part in error['loc'])
    if error['type'] == 'extra_forbidden':
        return _sentence(name, place, f'the key "{key}"', _nearest_key(key))
    found = 'no such key'
    if error['type'] != 'missing':
        found = _show(key, error['input'])
    return _sentence(name, place, found, _accepted(key))


def _nearest_key(key: str) -> str:
    nearest = difflib.get_close_matches(key, _FIELDS, n=1)
    if nearest:
        return f'"{nearest[0]}"'
    return 'one of the keys {}'.format(', '.join(_FIELDS))


def _show(key: str, found: Any) -> str:
    if key == _HASH_PLACE:
        # It may be the credential itself, which is never shown.
        return _show_size(found)
    shown = json.dumps(found)
    if len(shown) > _MAX_FOUND_CHARS:
        return f'{shown[:_MAX_FOUND_CHARS]}...'
    return shown


def _show_size(found: Any) -> str:
    if isinstance(found, (str, list)):
        return f'a {type(found).__name__} of length {len(found)}'
    return f'a {type(found).__name__}'


def _accepted(key: str) -> str:
    if key == 'customer':
        return _ACCEPTED_NAME
    if key == _HASH_PLACE:
        return _ACCEPTED_HASHES
    schema = _FIELDS[key]
    highest = schema['maximum']
    if schema['type'] == 'integer':
        return f'a whole number from {schema["minimum"]} to {highest}'
    return f'a number over {schema["exclusiveMinimum"]} and up to {highest}'


def _sentence(name: str, place: str, found: str, accepted: str) -> str:
    return f'{name}: {place}: found {found}; accepted is {accepted}.'


def _fault(
    name: str, place: str, found: str, accepted: str
) -> result.Err[Faults]:
    return result.Err((_sentence(name, place, found, accepted),))
