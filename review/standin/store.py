"""Stand-in of the platform's metadata store (PROTOCOL.md).

It follows the page: transactions under conditions, reads, a change feed. It
keeps the entries of workers: an entry is removed after three heartbeat
intervals of silence.
"""

import asyncio
import base64
import time

from standin import http

ANSWER_S = 0.004
TXN_S = 0.006
ROW_BYTES = 65536
MAX_ENTRIES = 100
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Tables of rows, and one HTTP listener for each VM."""

    def __init__(self, log):
        self.ver = 0
        self.rows = {}
        self.changes = []
        self.log = log
        self.beats = {}
        self.refused_rows = []

        #: Translates the value of a row that a VM writes (see ``cluster``).
        self.translate = lambda table, key, value: value
        self._changed = asyncio.Event()

    async def listen(self, host, gate):
        server = await http.serve(self.handle, host, gate=gate)
        return server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=''):
        """Write or remove a row for the operator or a worker."""
        self.ver += 1
        self._set((table, part, key), value)
        self._notify()

    def value(self, table, key, part=''):
        row = self.rows.get((table, part, key))
        return None if row is None else row[1]

    def beat(self, worker, value, interval_s):
        self.beats[worker] = time.monotonic() + 3 * interval_s
        self.put('servers', worker, value)

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for worker, until in list(self.beats.items()):
                if time.monotonic() > until:
                    self.beats.pop(worker)
                    self.put('servers', worker, None)
                    self.log(f'store: entry of {worker} expired')

    async def handle(self, req):
        await asyncio.sleep(ANSWER_S)
        match req.path:
            case '/v1/rows-tx':
                await asyncio.sleep(TXN_S)
                return self._transact(req.json())
            case '/v1/rows-get':
                return self._read(req.query)
            case '/v1/rows-feed':
                return await self._feed(req.query)
        return 404, {}

    def _transact(self, document):
        entries = [*document['expected'], *document['writes'],
                   *document['remove']]
        parts = {row.get('part', '') for row in entries}
        if len(entries) > MAX_ENTRIES or len(parts) > 1:
            return 400, {}
        values = [base64.b64decode(row['value']) for row in document['writes']]
        for row, value in zip(document['writes'], values):
            if len(value) > ROW_BYTES:
                self.refused_rows.append((row['key'], len(value)))
                self.log(f'store: write of {row["key"]} refused with 400: '
                         f'{len(value)} bytes, row_bytes is {ROW_BYTES}')
                return 400, {}
            if row['table'] in ('op', 'servers'):
                return 403, {}
        for row in document['expected']:
            current = self.rows.get(_row_id(row))
            if (current[0] if current else 0) != row['ver']:
                rows = [self._encode(_row_id(expected))
                        for expected in document['expected']
                        if _row_id(expected) in self.rows]
                return 412, self._document(rows=rows)
        self.ver += 1
        for row, value in zip(document['writes'], values):
            self._set(_row_id(row),
                      self.translate(row['table'], row['key'], value))
        for row in document['remove']:
            self._set(_row_id(row), None)
        self._notify()
        return 200, self._document()

    def _read(self, query):
        table, part = query['table'], query.get('part', '')
        first, last = query.get('from', ''), query.get('target', '')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        ids = sorted(row_id for row_id in self.rows
                     if row_id[:2] == (table, part) and row_id[2] >= first
                     and (not last or row_id[2] < last))
        page, size = [], 0
        for row_id in ids[:limit]:
            size += len(self.rows[row_id][1])
            if page and size > PAGE_BYTES:
                break
            page.append(self._encode(row_id))
        return 200, self._document(rows=page, has_more=len(page) < len(ids))

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            changed = {}
            for ver, row_id in self.changes:
                if ver > after and row_id[0] == table:
                    changed.pop(row_id, None)
                    changed[row_id] = ver
            wait_s = until - time.monotonic()
            if changed or wait_s <= 0:
                rows = [self._encode(row_id, ver)
                        for row_id, ver in changed.items()]
                return 200, self._document(rows=rows)
            event = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    await event.wait()
            except TimeoutError:
                pass

    def _set(self, row_id, value):
        if value is None:
            if self.rows.pop(row_id, None) is None:
                return
        else:
            self.rows[row_id] = (self.ver, value)
        self.changes.append((self.ver, row_id))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, row_id, ver=0):
        table, part, key = row_id
        row = {'table': table, 'part': part, 'key': key, 'ver': ver}
        if row_id in self.rows:
            ver, value = self.rows[row_id]
            return {**row, 'ver': ver,
                    'value': base64.b64encode(value).decode()}
        return {**row, 'tombstone': True}

    def _document(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {'ver': self.ver, 'now_ms': now_ms, **fields}


def _row_id(row):
    return row['table'], row.get('part', ''), row['key']
