"""Changes lead to the stated digest or are not taken."""

import dataclasses

import hypothesis
import testtools
from hypothesis import strategies
from testtools import matchers

from sardineproxy.version import codec, contracts, versions
from tests import examples
from tests.version import samples

_WEIGHTS = strategies.dictionaries(
    strategies.sampled_from(('acme', 'beta', 'gamma', 'delta')),
    strategies.integers(min_value=1, max_value=3),
    min_size=1,
)
_CONTENTS = strategies.lists(_WEIGHTS, min_size=1, max_size=8)

#: What is delivered: each part starts and ends at some version, and is a
#: snapshot or changes.
_DELIVERIES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 8),
        strategies.integers(0, 8),
        strategies.booleans(),
    ),
    max_size=12,
)


class ApplyTest(testtools.TestCase):
    """Versions are told apart by number and digest."""

    def test_digest_does_not_depend_on_order_or_spelling(self):
        first, second = 'a' * 64, 'b' * 64
        fields = samples.contract_fields(credential_sha256=[first, second])
        other = samples.contract_fields(
            credential_sha256=[second, first], weight=1.0
        )
        texts = [
            versions.encode_contract(contracts.Contract(**member))
            for member in (fields, other)
        ]
        self.assertThat(texts[0], matchers.Equals(texts[1]))

    def test_refuses_a_change_that_does_not_follow_or_match(self):
        snapshots, changes = samples.make_chain(
            samples.documents(acme=1), samples.documents(acme=2)
        )
        head = dataclasses.replace(changes[0].head, digest='0' * 64)
        wrong = dataclasses.replace(changes[0], head=head)
        for change, expected in (
            (changes[1], 'change 2 does not follow version 0'),
            (wrong, 'change 1 leads to digest '),
        ):
            refusal = versions.apply(snapshots[0], change).unwrap_err()
            self.assertThat(refusal, matchers.StartsWith(expected))

    def test_parse_refuses_what_callers_could_not_be_told_apart_by(self):
        clash = samples.contract_fields()['credential_sha256']
        documents = versions.encode_contracts(
            contracts.Contract(
                **samples.contract_fields(name, credential_sha256=clash)
            )
            for name in ('acme', 'beta')
        )
        snapshots, _ = samples.make_chain(documents)
        self.assertThat(
            versions.parse(snapshots[1]).unwrap_err(),
            matchers.Contains('which acme has too'),
        )

    @examples.settings()
    @hypothesis.given(_CONTENTS, _DELIVERIES)
    def test_any_delivery_moves_forward_to_true_versions(
        self, contents, deliveries
    ):
        snapshots, changes = samples.make_chain(
            *(samples.documents(**weights) for weights in contents)
        )
        target = samples.make_follower()
        numbers = []
        target.active_version.subscribe(
            lambda version: numbers.append(version and version.number)
        )
        last = len(contents)
        # The last delivery is whole, so the newest version is reached.
        for start, end, is_snapshot in (*deliveries, (0, last, False)):
            payload = codec.Payload(
                snapshot=None, changes=tuple(changes[start:end])
            )
            if is_snapshot and 0 < end <= last:
                payload = codec.Payload(snapshot=snapshots[end], changes=())
            target.offer(codec.encode_payload(payload))
            digest = snapshots[target.number()].digest
            known = target.state(now=0)['digest'] or versions.EMPTY.digest
            self.assertThat(known, matchers.Equals(digest))
        self.assertThat(numbers[0], matchers.Is(None))
        self.assertThat(numbers[1:], matchers.Equals(sorted(set(numbers[1:]))))
        self.assertThat(numbers[-1], matchers.Equals(last))


class CodecTest(testtools.TestCase):
    """What a row or a peer gives is checked before it is used."""

    def test_changes_and_snapshots_come_back_equal(self):
        snapshots, changes = samples.make_chain(
            samples.documents(acme=1, beta=1.5), samples.documents(beta=2)
        )
        payload = codec.Payload(snapshot=snapshots[1], changes=(changes[1],))
        encoded = codec.encode_payload(payload)
        self.assertThat(
            codec.decode_payload(encoded).unwrap(), matchers.Equals(payload)
        )
        self.assertThat(
            codec.decode_change(codec.encode_change(changes[1])).unwrap(),
            matchers.Equals(changes[1]),
        )

    def test_refuses_damaged_payloads(self):
        snapshots, _ = samples.make_chain(samples.documents(acme=1))
        whole = codec.encode_payload(
            codec.Payload(snapshot=snapshots[1], changes=())
        )
        for body, expected in (
            (whole[:-1], 'not valid JSON'),
            (whole.replace(b'"weight":1.0', b'"weight":2.0'), 'but states'),
            (whole.replace(b'"number":1', b'"number":0'), 'snapshot.number'),
            (
                whole.replace(b'acme', r'\ud800'.encode()),
                'bad or repeated customer',
            ),
            (b'\xff', 'not valid UTF-8'),
            (b' ' * (codec.MAX_PAYLOAD_BYTES + 1), 'at most'),
            (b'{"changes": [], "changes": []}', 'occurs twice'),
        ):
            refusal = codec.decode_payload(body).unwrap_err()
            self.assertThat(refusal, matchers.Contains(expected))
