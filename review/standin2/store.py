"""Stand-in of the platform's store, after PROTOCOL.md.

Rows in tables and parts, one version counter, atomic conditional
transactions, a change feed for each table.
"""

import asyncio
import base64
import json

import http_server

TX_S = 0.006
PAGE_ROWS = 500


class Store:
    def __init__(self, clock):
        self.clock = clock
        self.version = 0
        self.rows = {}      # (table, part, key) -> (value, version)
        self.changes = {}   # table -> [(version, part, key)]
        self._changed = asyncio.Condition()
        self.server = http_server.HttpServer(self._handle)

    async def listen(self, host):
        return await self.server.listen(host)

    async def put(self, table, key, document):
        """Write a row as the operator or a worker does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._apply([(table, '', key, value)])

    async def remove(self, table, key):
        """Remove a row as the platform does."""
        await self._apply([(table, '', key, None)])

    def read_json(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    async def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.changes.setdefault(table, []).append(
                (self.version, part, key)
            )
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, method, path, query, headers, document):
        if path == '/v1/rows-tx':
            await asyncio.sleep(TX_S)
            return await self._transact(document)
        if path == '/v1/rows-get':
            await asyncio.sleep(0.004)
            return 200, self._get(query)
        if path == '/v1/rows-feed':
            return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, document):
        expected = document.get('expected', [])
        writes = document.get('writes', [])
        removals = document.get('remove', [])
        entries = [*expected, *writes, *removals]
        if len(entries) > 100 or len({row['part'] for row in entries}) > 1:
            return 400, {}
        if any(row['table'] in ('op', 'servers') for row in writes + removals):
            return 403, {}
        if any(self._version_of(row) != row['ver'] for row in expected):
            rows = [
                self._encode(row['table'], row['part'], row['key'])
                for row in expected
                if self._version_of(row)
            ]
            return 412, {**self._stamp(), 'rows': rows}
        await self._apply(
            [(r['table'], r['part'], r['key'], r['value']) for r in writes]
            + [(r['table'], r['part'], r['key'], None) for r in removals]
        )
        return 200, self._stamp()

    def _get(self, query):
        part = query.get('part', '')
        keys = sorted(
            key
            for table, row_part, key in self.rows
            if table == query['table'] and row_part == part
            and key >= query.get('from', '')
            and ('target' not in query or key < query['target'])
        )
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        rows = [self._encode(query['table'], part, key) for key in keys[:limit]]
        return {**self._stamp(), 'rows': rows, 'has_more': len(keys) > limit}

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        until = self.clock() + int(query.get('wait_ms', 0)) / 1000
        while True:
            log = self.changes.get(table, [])
            changed = {
                (part, key): version
                for version, part, key in log
                if version > after
            }
            left_s = until - self.clock()
            if changed or left_s <= 0:
                rows = [
                    self._encode(table, part, key, version)
                    for (part, key), version in sorted(
                        changed.items(), key=lambda item: item[1]
                    )
                ]
                return {**self._stamp(), 'rows': rows}
            async with self._changed:
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    pass

    def _version_of(self, row):
        stored = self.rows.get((row['table'], row['part'], row['key']))
        return 0 if stored is None else stored[1]

    def _encode(self, table, part, key, version=0):
        row = {'table': table, 'part': part, 'key': key}
        stored = self.rows.get((table, part, key))
        if stored is None:
            return {**row, 'ver': version, 'tombstone': True}
        return {**row, 'ver': stored[1], 'value': stored[0]}

    def _stamp(self):
        return {'ver': self.version, 'now_ms': int(self.clock() * 1000)}
