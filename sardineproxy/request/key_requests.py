"""Questions about a key that one process asks the key's minter."""

import dataclasses
import enum

import msgpack
import pydantic

from sardineproxy import clock, ids, logs
from sardineproxy.process import metrics
from sardineproxy.request import documents, forwarding, keys, work

#: Largest payload; a peer message of 8 MiB has room for it.
MAX_PAYLOAD_BYTES = documents.MAX_BODY_BYTES - 4096

#: Statuses that an answer to a caller may have.
REPLY_STATUSES = range(200, 600)

#: Most members of an array in a payload.
MAX_MEMBERS = 64


class Operation(enum.Enum):
    """What a process asks of the minter of a key."""

    SUBMIT = 'submit'
    STATUS = 'status'
    CANCEL = 'cancel'


_log = logs.get_logger('request')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRequest:
    """What is forwarded to the minter of a key."""

    operation: Operation
    customer: ids.CustomerId
    key: str
    kind: work.TaskKind = work.TaskKind.SINGLE

    #: Body of a submission; empty otherwise.
    body: bytes = b''

    #: True if the reply is to wait for the end of the request.
    wait: bool = False


_REQUEST = pydantic.TypeAdapter(KeyRequest)
_REQUEST_FIELDS = ('operation', 'customer', 'key', 'kind', 'body', 'wait')
_REPLY = pydantic.TypeAdapter(documents.Reply)
_REPLY_FIELDS = ('status', 'headers', 'body', 'verdict')


def encode_request(request: KeyRequest) -> bytes:
    """Return a question's payload."""
    packed: bytes = msgpack.packb(
        [
            request.operation.value,
            request.customer,
            request.key,
            request.kind.value,
            request.body,
            request.wait,
        ]
    )
    return packed


def decode_request(payload: bytes) -> KeyRequest | None:
    """Return the question, or None if the payload is none."""
    try:
        return _REQUEST.validate_python(_unpack(payload, _REQUEST_FIELDS))
    except ValueError:
        return None


def encode_reply(reply: documents.Reply) -> bytes:
    """Return a reply's payload."""
    verdict = reply.verdict.value if reply.verdict else None
    packed: bytes = msgpack.packb(
        [reply.status, reply.headers, reply.body, verdict]
    )
    return packed


def decode_reply(payload: bytes) -> documents.Reply | None:
    """Return the reply, or None if the payload is none."""
    try:
        reply = _REPLY.validate_python(_unpack(payload, _REPLY_FIELDS))
    except ValueError:
        return None
    return reply if reply.status in REPLY_STATUSES else None


def _unpack(payload: bytes, fields: tuple[str, ...]) -> dict[str, object]:
    """Return the payload's members by name; raise ValueError otherwise."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError('the payload is too large')
    members = msgpack.unpackb(
        payload, max_array_len=MAX_MEMBERS, max_map_len=0, max_ext_len=0
    )
    if not isinstance(members, list):
        raise ValueError('the payload is not an array')
    return dict(zip(fields, members, strict=True))


class IssuerClient:
    """Asks the processes that minted the keys of others."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        forwarder: forwarding.Forwarder,
        metrics: metrics.Metrics,
    ) -> None:
        """Ask through ``forwarder``."""
        self._clock = clock
        self._forwarder = forwarder
        self._metrics = metrics

    async def send(
        self, *, request: KeyRequest, key: keys.Key, wait_s: float
    ) -> documents.Reply:
        """Return the reply of the key's minter within ``wait_s`` seconds."""
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
                answer = decode_reply(payload)
                if answer is not None:
                    return answer
                _log.warning('malformed reply', extra={'vm': key.vm})
            case forwarding.Gone():
                return documents.render_problem(keys.issuer_gone())
        return documents.render_problem(keys.issuer_unreachable())
