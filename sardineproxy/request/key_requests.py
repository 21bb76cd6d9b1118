"""Requests about a key that an entry process forwards to the key's issuer."""

import dataclasses
import enum

import msgpack
import pydantic

from sardineproxy import clock, ids, logs
from sardineproxy.process import metrics
from sardineproxy.request import documents, forwarding, keys, work

#: Maximum size of a payload in bytes; it fits into a peer message of 8 MiB.
MAX_PAYLOAD_BYTES = documents.MAX_BODY_BYTES - 4096

#: HTTP statuses that a reply to a caller may have.
REPLY_STATUSES = range(200, 600)

#: Maximum number of elements of an array in a payload.
MAX_ARRAY_LENGTH = 64


class Operation(enum.Enum):
    """Operation that a process requests of a key's issuer."""

    SUBMIT = 'submit'
    STATUS = 'status'
    CANCEL = 'cancel'


_LOG = logs.get_logger('request')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRequest:
    """Request about a key, as it is forwarded to the key's issuer."""

    operation: Operation
    customer: ids.CustomerId
    key: str
    kind: work.TaskKind = work.TaskKind.SINGLE

    #: Body of a submission; empty otherwise.
    body: bytes = b''

    #: True if the reply is sent when the submission has ended.
    wait: bool = False


_REQUEST = pydantic.TypeAdapter(KeyRequest)
_REQUEST_FIELDS = ('operation', 'customer', 'key', 'kind', 'body', 'wait')
_REPLY = pydantic.TypeAdapter(documents.Reply)
_REPLY_FIELDS = ('status', 'headers', 'body', 'verdict')


def encode_request(request: KeyRequest) -> bytes:
    """Return the payload of a request."""
    payload: bytes = msgpack.packb(
        [
            request.operation.value,
            request.customer,
            request.key,
            request.kind.value,
            request.body,
            request.wait,
        ]
    )
    return payload


def decode_request(payload: bytes) -> KeyRequest | None:
    """Return the request, or None if the payload is malformed."""
    try:
        return _REQUEST.validate_python(_unpack(payload, _REQUEST_FIELDS))
    except ValueError:
        return None


def encode_reply(reply: documents.Reply) -> bytes:
    """Return the payload of a reply."""
    verdict = reply.verdict.value if reply.verdict else None
    payload: bytes = msgpack.packb(
        [reply.status, reply.headers, reply.body, verdict]
    )
    return payload


def decode_reply(payload: bytes) -> documents.Reply | None:
    """Return the reply, or None if the payload is malformed."""
    try:
        reply = _REPLY.validate_python(_unpack(payload, _REPLY_FIELDS))
    except ValueError:
        return None
    return reply if reply.status in REPLY_STATUSES else None


def _unpack(payload: bytes, fields: tuple[str, ...]) -> dict[str, object]:
    """Return the payload's values by name; raise ValueError if malformed."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError('payload exceeds the size limit')
    values = msgpack.unpackb(
        payload, max_array_len=MAX_ARRAY_LENGTH, max_map_len=0, max_ext_len=0
    )
    if not isinstance(values, list):
        raise ValueError('payload is not a msgpack array')
    return dict(zip(fields, values, strict=True))


class IssuerClient:
    """Forwards requests to the processes that issued the keys."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        forwarder: forwarding.Forwarder,
        metrics: metrics.Metrics,
    ) -> None:
        """Create a client that sends requests through ``forwarder``."""
        self._clock = clock
        self._forwarder = forwarder
        self._metrics = metrics

    async def send(
        self, *, request: KeyRequest, key: keys.Key, wait_s: float
    ) -> documents.Reply:
        """Return the reply of the key's issuer within ``wait_s`` seconds.

        If the issuer is gone or unreachable, the reply is that problem.
        """
        payload = encode_request(request)
        if len(payload) > MAX_PAYLOAD_BYTES:
            return documents.render_problem(keys.too_large_to_forward())
        reply = await self._forwarder.forward(
            vm=key.vm,
            incarnation=key.incarnation,
            payload=payload,
            deadline=self._clock.now() + wait_s,
        )
        self._metrics.count('forwards_total', reply=type(reply).__name__)
        match reply:
            case forwarding.Replied(payload=payload):
                decoded = decode_reply(payload)
                if decoded is not None:
                    return decoded
                _LOG.warning(
                    'Reply to a forwarded request is malformed; the key issuer '
                    'is reported as unreachable.',
                    extra={'vm': key.vm},
                )
            case forwarding.Gone():
                return documents.render_problem(keys.issuer_gone())
        return documents.render_problem(keys.issuer_unreachable())
