"""Loads a contract directory with one ``*.jsonc`` file per customer."""

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

#: Longest excerpt of an invalid value in an error message, in characters.
_MAX_EXCERPT_CHARS = 60

_FIELDS = contracts.Contract.model_json_schema()['properties']
_HASH_FIELD = 'credential_sha256'
_EXPECTED_NAME = (
    'a name of 1 to 63 lower-case letters, digits and hyphens that does not '
    'start with a hyphen'
)
_EXPECTED_HASHES = (
    'a list of 1 to 4 SHA-256 hashes of 64 lower-case hexadecimal digits, as '
    'hash-credential prints them'
)

Errors = tuple[str, ...]
Contracts = Mapping[str, contracts.Contract]


def load_directory(
    directory: pathlib.Path,
) -> result.Result[tuple[contracts.Contract, ...], Errors]:
    """Load and validate all contracts; each error is one sentence."""
    paths = _find_files(directory)
    if isinstance(paths, result.Err):
        return paths
    parsed: dict[str, contracts.Contract] = {}
    errors: list[str] = []
    for path in paths.ok_value:
        contract = _load_file(path)
        if isinstance(contract, result.Err):
            errors.extend(contract.err_value)
        else:
            parsed[path.name] = contract.ok_value
    errors.extend(contracts.find_duplicates(parsed))
    if errors:
        return result.Err(tuple(errors))
    return result.Ok(tuple(parsed.values()))


def parse_text(
    name: str, text: str
) -> result.Result[contracts.Contract, Errors]:
    """Parse and validate the contract in the text of the file ``name``."""
    size = len(text.encode())
    if size > MAX_FILE_BYTES:
        return _single_error(
            name, 'size', f'{size} bytes', f'at most {MAX_FILE_BYTES} bytes'
        )
    duplicate_keys: list[str] = []
    try:
        document = jsonc.loads(
            json_text.blank_comments(text),
            object_pairs_hook=lambda pairs: _collect_pairs(
                pairs, duplicate_keys
            ),
        )
    except json.JSONDecodeError as exc:
        location = f'line {exc.lineno} column {exc.colno}'
        return _single_error(
            name, location, f'"{exc.msg}"', 'JSON with comments'
        )
    except (ValueError, RecursionError) as exc:
        return _single_error(name, 'text', f'"{exc}"', 'JSON with comments')
    if not isinstance(document, dict):
        type_name = type(document).__name__
        return _single_error(name, 'text', f'a {type_name}', 'one JSON object')
    errors = [
        _format_error(name, key, 'the key more than once', 'each key once')
        for key in duplicate_keys
    ]
    try:
        contract = contracts.Contract.model_validate(document)
    except pydantic.ValidationError as exc:
        errors.extend(
            _format_validation_error(name, error) for error in exc.errors()
        )
        return result.Err(tuple(errors))
    errors.extend(
        f'{name}: {error}'
        for error in contracts.find_contradictory_limits(contract)
    )
    return result.Err(tuple(errors)) if errors else result.Ok(contract)


def _find_files(
    directory: pathlib.Path,
) -> result.Result[list[pathlib.Path], Errors]:
    try:
        entries = sorted(directory.iterdir())
    except OSError as exc:
        cause = exc.strerror
        return _single_error(
            str(directory), 'directory', f'"{cause}"', 'a directory'
        )
    misnamed = [path.name for path in entries if path.suffix == '.json']
    if misnamed:
        return _single_error(
            misnamed[0], 'file name', 'extension .json', '.jsonc'
        )
    paths = [path for path in entries if path.suffix == '.jsonc']
    if not 1 <= len(paths) <= contracts.MAX_CONTRACTS:
        return _single_error(
            str(directory),
            'directory',
            f'{len(paths)} files *.jsonc',
            f'1 to {contracts.MAX_CONTRACTS}, one per customer',
        )
    return result.Ok(paths)


def _load_file(
    path: pathlib.Path,
) -> result.Result[contracts.Contract, Errors]:
    try:
        with path.open('rb') as stream:
            body = stream.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        return _single_error(
            path.name, 'file', f'"{exc.strerror}"', 'a readable file'
        )
    try:
        text = body.decode()
    except UnicodeDecodeError as exc:
        return _single_error(
            path.name, f'byte {exc.start}', 'an invalid byte', 'UTF-8'
        )
    return parse_text(path.name, text)


def _collect_pairs(
    pairs: list[tuple[str, Any]], duplicate_keys: list[str]
) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document and key not in duplicate_keys:
            duplicate_keys.append(key)
        document[key] = value
    return document


def _format_validation_error(name: str, error: Any) -> str:
    key = str(error['loc'][0])
    location = '.'.join(str(part) for part in error['loc'])
    if error['type'] == 'extra_forbidden':
        return _format_error(
            name, location, f'the key "{key}"', _expected_key(key)
        )
    found = 'no such key'
    if error['type'] != 'missing':
        found = _format_value(key, error['input'])
    return _format_error(name, location, found, _expected(key))


def _expected_key(key: str) -> str:
    nearest = difflib.get_close_matches(key, _FIELDS, n=1)
    if nearest:
        return f'"{nearest[0]}"'
    return 'one of the keys {}'.format(', '.join(_FIELDS))


def _format_value(key: str, value: Any) -> str:
    if key == _HASH_FIELD:
        # The value may be the credential itself, which is never printed.
        return _describe_size(value)
    text = json.dumps(value)
    if len(text) > _MAX_EXCERPT_CHARS:
        return f'{text[:_MAX_EXCERPT_CHARS]}...'
    return text


def _describe_size(value: Any) -> str:
    if isinstance(value, (str, list)):
        return f'a {type(value).__name__} of length {len(value)}'
    return f'a {type(value).__name__}'


def _expected(key: str) -> str:
    if key == 'customer':
        return _EXPECTED_NAME
    if key == _HASH_FIELD:
        return _EXPECTED_HASHES
    schema = _FIELDS[key]
    maximum = schema['maximum']
    if schema['type'] == 'integer':
        return f'an integer from {schema["minimum"]} to {maximum}'
    return f'a number above {schema["exclusiveMinimum"]}, up to {maximum}'


def _format_error(name: str, location: str, found: str, expected: str) -> str:
    return f'{name}: {location}: found {found}; expected {expected}.'


def _single_error(
    name: str, location: str, found: str, expected: str
) -> result.Err[Errors]:
    return result.Err((_format_error(name, location, found, expected),))
