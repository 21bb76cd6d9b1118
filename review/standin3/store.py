"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

import http11

PAGE_ROWS = 500
ROW_BYTES = 65_536


class Store:
    """Rows of all tables, with conditional transactions and a feed."""

    def __init__(self, *, answer_s=0.004, transaction_s=0.006):
        self.version = 1
        self._rows = {}
        self._changes = []
        self._changed = asyncio.Event()
        self._answer_s = answer_s
        self._transaction_s = transaction_s

        #: Replaces values on their way from a process, as a proxy would.
        self.rewrite = lambda table, key, value: value

    async def listen(self, host):
        """Start to serve; return the address."""
        server = await http11.serve(self._handle, host)
        return f'{host}:{server.port}'

    def put(self, table, key, document):
        """Write a row of the operator or of a worker; None removes it."""
        value = document if document is None else _encode(document)
        self.version += 1
        self._apply(table, '', key, value)
        self._notify()

    def read(self, table, key):
        """Return the document of a row."""
        return json.loads(base64.b64decode(self._rows[(table, '', key)][0]))

    async def _handle(self, method, path, query, headers, document):
        await asyncio.sleep(self._answer_s)
        match path:
            case '/v1/rows-tx':
                await asyncio.sleep(self._transaction_s)
                return self._transact(document)
            case '/v1/rows-get':
                return self._get(query)
            case '/v1/rows-feed':
                return await self._feed(query)
            case '/v1/rows-parts':
                parts = {part for table, part, _ in self._rows if table == query['table']}
                return self._answer(parts=sorted(parts)[:1000])
        raise http11.Reply(404)

    def _transact(self, document):
        expected = document.get('expected', [])
        writes = document.get('writes', [])
        removals = document.get('remove', [])
        entries = [*expected, *writes, *removals]
        if len(entries) > 100 or len({row.get('part', '') for row in entries}) > 1:
            raise http11.Reply(400)
        if any(row['table'] in {'op', 'servers'} for row in [*writes, *removals]):
            raise http11.Reply(403)
        if any(len(row['value']) * 3 / 4 > ROW_BYTES + 2 for row in writes):
            raise http11.Reply(400)
        for row in expected:
            found = self._rows.get(_id(row))
            if (found[1] if found else 0) != row['ver']:
                present = [
                    _row(_id(other), *self._rows[_id(other)])
                    for other in expected
                    if _id(other) in self._rows
                ]
                raise http11.Reply(412, self._answer(rows=present))
        self.version += 1
        for row in writes:
            value = self.rewrite(row['table'], row['key'], row['value'])
            self._apply(*_id(row), value)
        for row in removals:
            self._apply(*_id(row), None)
        self._notify()
        return self._answer()

    def _get(self, query):
        table, part = query['table'], query.get('part', '')
        first, end = query.get('from', ''), query.get('target', '')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        found = sorted(
            row_id
            for row_id in self._rows
            if row_id[:2] == (table, part)
            and row_id[2] >= first
            and (not end or row_id[2] < end)
        )
        return self._answer(
            rows=[_row(row_id, *self._rows[row_id]) for row_id in found[:limit]],
            has_more=len(found) > limit,
        )

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            newest = {}
            for version, row_id, value in reversed(self._changes):
                if version <= after:
                    break
                if row_id[0] == table:
                    newest.setdefault(row_id, (value, version))
            rows = sorted(newest.items(), key=lambda item: item[1][1])
            remaining_s = until - time.monotonic()
            if rows or remaining_s <= 0:
                page = rows[:PAGE_ROWS]
                answer = self._answer(rows=[_row(row_id, *row) for row_id, row in page])
                if len(rows) > PAGE_ROWS:
                    answer['ver'] = page[-1][1][1]
                return answer
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _apply(self, table, part, key, value):
        row_id = (table, part, key)
        if value is None:
            if self._rows.pop(row_id, None) is None:
                return
        else:
            self._rows[row_id] = (value, self.version)
        self._changes.append((self.version, row_id, value))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, **fields):
        return {'ver': self.version, 'now_ms': int(time.monotonic() * 1000), **fields}


def _id(row):
    return row['table'], row.get('part', ''), row['key']


def _row(row_id, value, version):
    table, part, key = row_id
    row = {'table': table, 'part': part, 'key': key, 'ver': version}
    if value is None:
        return {**row, 'tombstone': True}
    return {**row, 'value': value}


def _encode(document):
    return base64.b64encode(json.dumps(document).encode()).decode()
