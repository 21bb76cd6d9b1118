"""Tests of the callers' HTTP listener and of its limits."""

import asyncio
import io
import json
import re
from typing import Any

import aiohttp
from testtools import matchers

from sardineproxy import logs
from sardineproxy.connection import caller
from tests.request import test_submissions as fakes

AUTHORIZATION = 'Bearer warm-credential'
HEAD = (
    f'POST /v1/keys HTTP/1.1\r\nHost: x\r\nAuthorization: {AUTHORIZATION}\r\n'
)
NO_BODY = 'Content-Length: 0\r\n\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'
LAST_CHUNK = '\r\n0\r\n\r\n'

#: Timeout for waits that normally end with an event, in seconds.
TIMEOUT_S = 30


class CallerTestCase(fakes.SubmissionsTestCase):
    """Runs a listener in front of the first process."""

    async def start(self, **limits: Any) -> None:
        limits = caller.ConnectionLimits(**limits)
        app = caller.build_app(
            submissions=self.process, limits=limits, clock=self.clock
        )
        self.listener = await caller.start(
            app=app, limits=limits, host='127.0.0.1', port=0
        )

    async def call(
        self, verb: str, path: str, key: str | None = None, **extra: Any
    ) -> tuple[int, Any]:
        headers = {'Authorization': extra.pop('authorization', AUTHORIZATION)}
        if key:
            headers['Idempotency-Key'] = key
        url = f'http://127.0.0.1:{self.listener.port}/v1/{path}'
        async with aiohttp.request(verb, url, headers=headers, **extra) as resp:
            return resp.status, await resp.json(content_type=None)

    async def connect(self) -> tuple[Any, Any]:
        return await asyncio.open_connection('127.0.0.1', self.listener.port)

    async def post(self, key: str, **changes: Any) -> Any:
        """Submit a single request; return the writer of its connection."""
        body = json.dumps({**fakes.TASK, **changes})
        _, writer = await self.connect()
        writer.write(
            f'{HEAD.replace("keys", "requests")}Idempotency-Key: {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )
        while (await self.call_method('status'))[0] == 404:
            await asyncio.sleep(0)
        return writer

    async def send(self, *parts: str) -> bytes:
        """Send raw bytes and return all bytes received until the close."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part.encode('latin1'))
            await writer.drain()
        async with asyncio.timeout(TIMEOUT_S):
            received = await reader.read()
        writer.close()
        return received


class OperationsTest(CallerTestCase):
    """Performs every operation over HTTP."""

    async def test_job_from_key_to_cancel(self) -> None:
        await self.start()
        _, issued = await self.call('POST', 'keys', json={'count': 2})
        key = issued['keys'][1]
        job = {'tasks': [fakes.TASK, fakes.TASK]}
        self.runner.start_gate.clear()
        status, running = await self.call(
            'POST', 'jobs?wait=false', key, json=job
        )
        self.assertEqual((202, 'running'), (status, running['state']))
        self.runner.start_gate.set()
        completed = await self.call('POST', 'jobs', key, json=job)
        self.assertEqual('complete', completed[1]['state'])
        for verb in ('GET', 'DELETE'):
            repeated = await self.call(verb, f'jobs/{key}')
            self.assertEqual(completed, repeated)

    async def test_refusals_are_problem_documents(self) -> None:
        await self.start(body_bytes=100)
        for verb, path, key, body, code in (
            ('POST', 'requests', self.key, 'x' * 101, 'body_too_large'),
            (
                'POST',
                'requests?wait=no',
                self.spare_key,
                '',
                'malformed_request',
            ),
            ('PUT', 'requests', None, '', 'no_such_resource'),
            ('GET', 'other', None, '', 'no_such_resource'),
            ('GET', 'jobs/none', None, '', 'malformed_key'),
        ):
            response = await self.call(verb, path, key, data=body)
            self.assert_problem(response, code, 'not_run', True)

    async def test_overload(self) -> None:
        for limits in ({'connections': 0}, {'reading_bytes': 1}):
            await self.start(**limits)
            received = await self.send(HEAD, 'Content-Length: 2\r\n\r\n{}')
            self.assertThat(received, matchers.Contains(b'"overloaded"'))
            await self.listener.close()

    async def test_wrong_credential(self) -> None:
        """Guards against "not run" for an issued key that was not looked up."""
        await self.start()
        for key, verdict in (
            (None, 'not_run'),
            ('my-key', 'not_run'),
            (self.key, 'may_have_run'),
        ):
            response = await self.call(
                'POST', 'requests', key, authorization='Bearer none'
            )
            final = verdict == 'not_run'
            self.assert_problem(response, 'unauthorized', verdict, final)

    async def test_disconnect_does_not_cancel(self) -> None:
        await self.start(close_timeout_s=0.1)
        self.runner.start_gate.clear()
        writer = await self.post(self.key)
        writer.transport.abort()
        await self.listener.close()
        self.runner.start_gate.set()
        await self.process.wait_until_idle()
        self.assertEqual(200, (await self.call_method('status'))[0])


class FramingTest(CallerTestCase):
    """Guards against requests that two parsers end at different bytes."""

    async def test_ambiguous_requests_are_rejected(self) -> None:
        await self.start()
        for headers_and_body, status in (
            (f'Content-Length: 2\r\n{CHUNKED}{LAST_CHUNK}', 400),
            (f'{CHUNKED}Content-Length: 2\r\n{LAST_CHUNK}', 400),
            ('Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}', 400),
            ('Content-Length: 2, 2\r\n\r\n{}', 400),
            ('Content-Length: +2\r\n\r\n{}', 400),
            ('Content-Length : 0\r\n\r\n', 400),
            (f'X: 1\r\n 2\r\n{NO_BODY}', 400),
            (f'X: 1\r\n\t2\r\n{NO_BODY}', 400),
            (f'X: 1\n{NO_BODY}', 400),
            (f'X: a\0b\r\n{NO_BODY}', 400),
            (f'Host: y\r\n{NO_BODY}', 400),
            (f'Transfer-Encoding: gzip, chunked\r\n{LAST_CHUNK}', 400),
            ('Transfer-Encoding: identity\r\n\r\n', 400),
            (f'{CHUNKED}{CHUNKED}{LAST_CHUNK}', 400),
            (f'{CHUNKED}\r\nzz\r\n{{}}{LAST_CHUNK}', 400),
            (f'Authorization: Bearer x\r\n{NO_BODY}', 400),
            (f'Expect: other\r\n{NO_BODY}', 417),
            (f'Content-Encoding: gzip\r\n{NO_BODY}', 415),
            (f'X: {"a" * 17_000}\r\n{NO_BODY}', 431),
            (''.join(f'X{n}: {"a" * 400}\r\n' for n in range(50)), 431),
        ):
            received = await self.send(HEAD + headers_and_body)
            self.assertEqual(
                [str(status).encode()], re.findall(rb'HTTP/1.. (\d+)', received)
            )
            self.assertThat(received, matchers.Contains(b'"verdict"'))
        http10_request = (
            HEAD.replace('HTTP/1.1', 'HTTP/1.0') + CHUNKED + LAST_CHUNK
        )
        self.assertThat(
            await self.send(http10_request), matchers.Contains(b' 400 ')
        )

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        await self.start()
        long_headers = ''.join(f'X{n}: {"a" * 400}\r\n' for n in range(50))
        received = await self.send(
            HEAD + NO_BODY + HEAD + NO_BODY + HEAD + long_headers + NO_BODY
        )
        self.assertEqual(
            [b'200', b'200', b'431'], re.findall(rb'HTTP/1.1 (\d+)', received)
        )

    async def test_pipelined_bodies_are_not_parsed_as_heads(self) -> None:
        """Guards against a rejection of the body behind another request."""
        await self.start()
        size = 200_000
        body = json.dumps({'count': 1}).ljust(size)
        sized = f'{HEAD}Content-Length: {size}\r\n\r\n{body}'
        received = await self.send(
            sized, sized, HEAD + 'Connection: close\r\n' + NO_BODY
        )
        self.assertEqual(3, received.count(b'HTTP/1.1 200'), received)

    async def test_empty_lines_before_a_request_are_ignored(self) -> None:
        """Guards against a search for the end of the head that stops early."""
        await self.start()
        received = await self.send(
            '\r\n\r\n', HEAD + 'Connection: close\r\n' + NO_BODY
        )
        self.assertEqual(1, received.count(b'HTTP/1.1 200'), received)

    async def test_connection_is_kept_after_a_chunked_body(self) -> None:
        await self.start()
        chunked = f'{HEAD}{CHUNKED}\r\n5\r\n{{   }}{LAST_CHUNK}'
        received = await self.send(
            chunked * 2, HEAD + 'Connection: close\r\n' + NO_BODY
        )
        self.assertEqual(3, received.count(b'HTTP/1.1 200'), received)

    async def test_bad_lines_are_not_logged(self) -> None:
        """Guards against credentials in logged parser error messages."""
        stream = io.StringIO()
        logs.configure(stream=stream)
        await self.start()
        await self.send(f'{HEAD}Authorization  : {AUTHORIZATION}\r\n{NO_BODY}')
        await self.listener.close()
        self.assertThat(stream.getvalue(), matchers.Contains('malformed_http'))
        self.assertNotIn('credential', stream.getvalue())


class TimeoutTest(CallerTestCase):
    """Guards against slow callers that keep connections open."""

    async def test_incomplete_requests_time_out(self) -> None:
        await self.start(read_timeout_s=0.2)
        for parts in (
            ('P',),
            (HEAD, 'X: '),
            ('\r\n\r\n', HEAD),
            (HEAD, 'Content-Length: 2\r\n\r\n{'),
            (HEAD + NO_BODY + HEAD,),
        ):
            received = await self.send(*parts)
            self.assertThat(received, matchers.Contains(b'HTTP/1.1 408'))

    async def test_single_bytes_do_not_extend_the_timeout(self) -> None:
        await self.start(read_timeout_s=0.2)
        reader, writer = await self.connect()
        response = asyncio.create_task(reader.read())
        writer.write(f'{HEAD}X: '.encode())
        while not response.done():
            writer.write(b'x')
            await asyncio.wait({response}, timeout=0.02)
        self.assertThat(response.result(), matchers.Contains(b' 408 '))
        writer.close()

    async def test_unread_response_times_out(self) -> None:
        await self.start(write_timeout_s=0.2, close_timeout_s=TIMEOUT_S)
        self.runner.outcomes[0] = fakes.make_response(body=bytes(8_388_608))
        writer = await self.post(self.key)
        async with asyncio.timeout(TIMEOUT_S):
            await self.listener.close()
        writer.transport.abort()
