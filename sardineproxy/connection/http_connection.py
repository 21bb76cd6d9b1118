"""One connection of an HTTP client."""

import asyncio
import collections
import typing
from typing import Callable

import httptools

from sardineproxy import logs
from sardineproxy.connection import (
    client_guard,
    http_messages,
    parse_turns,
    request_reader,
)

#: Requests that may wait on one connection until those before are answered.
MAX_PIPELINED = 16

#: Bytes of requests behind the one that is being handled, above which a
#: connection is not read. The kernel then holds back the client.
MAX_WAITING_BYTES = 65_536

#: Idle connections are closed after this time, in seconds.
KEEPALIVE_S = 75

#: Time for which received bytes are discarded after a rejection, in seconds.
#: Closing at once would reset the connection while the client still sends,
#: and the client could miss the response.
LINGER_S = 1.0

#: ``Retry-After`` of requests that are refused because of the limits, in
#: seconds.
RETRY_AFTER_S = 1

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_BAD_REQUEST = http_messages.encode(
    http_messages.Response(status=400), 'GET', keep_alive=False
)
_REFUSAL = http_messages.encode(
    http_messages.Response(
        status=503, headers={'Retry-After': str(RETRY_AFTER_S)}
    ),
    'GET',
    keep_alive=False,
)

_Cause = client_guard.Cause

#: Causes of a close at which a request that has not been accepted is answered.
_REFUSED_CAUSES = frozenset((_Cause.MEMORY, _Cause.SLOW))
_Phase = client_guard.Phase
_LOG = logs.get_logger('http')


class Connection(asyncio.Protocol):  # noqa: WPS214, WPS230
    """One client connection; requests are handled one after the other."""

    def __init__(
        self,
        *,
        handler: http_messages.Handler,
        cfg: http_messages.ServerConfig,
        guard: client_guard.ClientGuard,
        connections: set['Connection'],
    ) -> None:
        """Wait for ``connection_made``."""
        self._handler = handler
        self._cfg = cfg
        self._guard = guard
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._reader = request_reader.RequestReader(cfg=cfg)
        self._is_last_request_read = False

        #: Received bytes that wait for a turn of this connection.
        self._unparsed = bytearray()
        self._waiting: collections.deque[http_messages.Request] = (
            collections.deque()
        )

        #: Bytes of the waiting requests, and of the one that is handled.
        self._waiting_bytes = 0
        self._handled_bytes = 0
        self._handling: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

        #: True if ``_timer`` is the deadline of a request.
        self._has_deadline = False

        #: Set while the client has not read a reply.
        self._write_timer: asyncio.TimerHandle | None = None
        self._written: asyncio.Future[None] | None = None

    def close(self) -> None:
        """Close the connection after the data that is being sent."""
        self._transport.close()

    def close_excess(self, cause: client_guard.Cause) -> None:
        """Close at once; refuse a request that has not been accepted."""
        if self._transport.is_closing():
            return
        self._guard.count(self._cfg.listener, cause)
        self._end_reading()
        # A refused request must not be handled.
        self._waiting.clear()
        self._waiting_bytes = 0
        is_refusable = self._handling is None and self._written is None
        if is_refusable and cause in _REFUSED_CAUSES:
            self._refuse()
        else:
            self._transport.abort()

    # Implementation of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request, or refuse the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        # Without a buffer, each reply that the client has not read is known.
        self._transport.set_write_buffer_limits(high=0)
        self._connections.add(self)
        is_accepted = self._guard.add(
            self,
            listener=self._cfg.listener,
            max_connections=self._cfg.max_connections,
            min_idle_s=self._cfg.min_idle_s,
        )
        if is_accepted:
            self._start_timer(KEEPALIVE_S, self.close)
        else:
            self._is_last_request_read = True
            self._refuse()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request, or keep it for this connection's turn."""
        if self._is_last_request_read:
            return
        if not self._unparsed and len(data) <= parse_turns.AT_ONCE_BYTES:
            self._parse(data)
            return
        self._unparsed += data
        self._guard.turns.add(self)
        self._transport.pause_reading()
        self._update_guard()
        self._update_deadline()

    def take_turn(self) -> None:
        """Parse some of the bytes that wait."""
        piece = bytes(self._unparsed[: parse_turns.TURN_BYTES])
        del self._unparsed[: parse_turns.TURN_BYTES]
        self._parse(piece)
        if self._is_last_request_read:
            self._unparsed.clear()
        if not self._must_wait():
            self._continue()

    def pause_writing(self) -> None:
        """Hold back the next reply until this one is read."""
        if self._written is None:
            self._written = self._loop.create_future()
            self._write_timer = self._loop.call_later(
                self._cfg.write_timeout_s, self._write_timed_out
            )
            self._update_guard()

    def resume_writing(self) -> None:
        """Send the next reply."""
        self._stop_write_timer()
        self._update_guard()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._connections.discard(self)
        self._guard.remove(self)
        self._stop_timer()
        self._stop_write_timer()
        self._end_reading()
        self._waiting.clear()
        if self._handling is not None:
            self._handling.cancel()

    def _end_reading(self) -> None:
        """Release what has been received of further requests."""
        self._is_last_request_read = True
        self._reader.close()
        self._unparsed = bytearray()
        self._guard.turns.discard(self)
        # What the client still sends is discarded.
        self._resume_reading()

    def _parse(self, received: bytes) -> None:
        """Parse received bytes, and handle the requests that are complete."""
        cause = self._feed(received)
        if self._reader.is_continue_expected:
            self._reader.is_continue_expected = False
            self._transport.write(_CONTINUE)
        self._take_complete()
        if cause is not None:
            self._reject(cause)
        elif len(self._waiting) > MAX_PIPELINED:
            self._guard.count(self._cfg.listener, _Cause.PIPELINED)
            self._transport.abort()
        self._update_guard()
        if self._waiting and not self._transport.is_closing():
            self._start_handling()
        self._update_deadline()

    def _feed(self, received: bytes) -> client_guard.Cause | None:
        """Parse received bytes; return the cause of a rejection."""
        try:
            self._reader.feed(received)
        except httptools.HttpParserUpgrade:
            # The upgrade is not accepted; what follows is no request.
            self._is_last_request_read = True
        except request_reader.RejectedError as exc:
            return exc.cause
        except httptools.HttpParserError:
            return _Cause.MALFORMED
        return None

    def _take_complete(self) -> None:
        for req in self._reader.complete:
            self._waiting.append(req)
            self._waiting_bytes += req.held_bytes
        self._reader.complete.clear()

    def _start_handling(self) -> None:
        if self._handling is None:
            self._handling = self._loop.create_task(self._handle_waiting())
            self._handling.add_done_callback(self._handled)
        if self._must_wait():
            self._transport.pause_reading()

    async def _handle_waiting(self) -> None:
        """Answer the waiting requests in order."""
        while self._waiting:
            req = self._waiting.popleft()
            self._waiting_bytes -= req.held_bytes
            self._handled_bytes = req.held_bytes
            response = await self._respond(req)
            keep_alive = req.keep_alive and not response.close
            if self._is_last_request_read and not self._waiting:
                keep_alive = False
            self._transport.write(
                http_messages.encode(
                    response, req.method, keep_alive=keep_alive
                )
            )
            self._handled_bytes = 0
            if not keep_alive:
                self._transport.close()
                return
            if self._written is not None:
                await self._written

    async def _respond(
        self, req: http_messages.Request
    ) -> http_messages.Response:
        """Return the handler's response, 500 if it fails."""
        try:
            return await self._handler(req)
        except Exception:
            # One failed request must not end the process or the connection.
            _LOG.exception('Request failed.', extra={'path': req.path})
            return http_messages.Response(status=500)

    def _handled(self, handling: asyncio.Task[None]) -> None:
        self._handling = None
        if not handling.cancelled() and handling.exception() is not None:
            _LOG.error('Connection failed.', exc_info=handling.exception())
            self._transport.abort()
        if self._transport.is_closing():
            return
        self._update_guard()
        self._continue()
        if not self._transport.is_closing():
            self._update_deadline()

    def _continue(self) -> None:
        """Parse what waits, or receive more."""
        if self._unparsed:
            self._guard.turns.add(self)
        else:
            self._resume_reading()

    def _must_wait(self) -> bool:
        """Return whether enough waits behind the request in progress."""
        if self._handling is None:
            return False
        behind_bytes = self._waiting_bytes + self._reader.held_bytes
        return behind_bytes > MAX_WAITING_BYTES

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _update_guard(self) -> None:
        """Tell the guard what this connection does and holds."""
        unread_bytes = self._transport.get_write_buffer_size()
        if self._handling is not None and not self._written:
            phase = _Phase.ACCEPTED
        elif self._written:
            phase = _Phase.UNREAD
        elif self._waiting:
            phase = _Phase.ACCEPTED
        elif self._is_arriving:
            phase = _Phase.ARRIVING
        else:
            phase = _Phase.IDLE
        held_bytes = (
            len(self._unparsed)
            + self._reader.held_bytes
            + self._waiting_bytes
            + self._handled_bytes
            + unread_bytes
        )
        self._guard.update(self, phase, held_bytes)

    @property
    def _is_arriving(self) -> bool:
        """Return whether a part of the next request has arrived."""
        return self._reader.is_arriving or bool(self._unparsed)

    def _update_deadline(self) -> None:
        """Keep the deadline from the first byte of a request to its last."""
        if self._handling is not None or self._transport.is_closing():
            if self._handling is not None:
                self._stop_timer()
        elif self._is_last_request_read:
            return
        elif not self._is_arriving:
            self._start_timer(KEEPALIVE_S, self.close)
        elif not self._has_deadline:
            self._start_timer(self._cfg.read_timeout_s, self._read_timed_out)
            self._has_deadline = True

    def _read_timed_out(self) -> None:
        if self._unparsed:
            # This process, not the client, may be slow.
            self._guard.count(self._cfg.listener, _Cause.SLOW)
            self._end_reading()
            self._refuse()
        elif self._reader.has_begun:
            self._reject(_Cause.SLOW)
        else:
            # After empty lines, a client could take a response for that to
            # its next request.
            self._guard.count(self._cfg.listener, _Cause.SLOW)
            self._transport.close()

    def _write_timed_out(self) -> None:
        self._guard.count(self._cfg.listener, _Cause.UNREAD)
        self._transport.abort()

    def _reject(self, cause: client_guard.Cause) -> None:
        """Answer a request that cannot be read, and close the connection.

        Requests before it are still answered.
        """
        self._end_reading()
        if self._transport.is_closing():
            return
        self._guard.count(self._cfg.listener, cause)
        if self._handling is not None or self._waiting:
            return
        if self._written is not None or cause is _Cause.BODY:
            self._transport.abort()
            return
        self._transport.write(_BAD_REQUEST)
        self._transport.write_eof()
        self._start_timer(LINGER_S, self._transport.abort)

    def _refuse(self) -> None:
        """Refuse a request; wait for the client if few others do."""
        self._transport.write(_REFUSAL)
        if self._guard.may_linger(self):
            self._transport.write_eof()
            self._start_timer(LINGER_S, self._transport.abort)
        else:
            self._transport.close()

    def _start_timer(
        self, delay_s: float, callback: Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _stop_timer(self) -> None:
        self._has_deadline = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        if self._written is not None and not self._written.done():
            self._written.set_result(None)
        self._written = None
