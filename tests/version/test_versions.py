"""Tests that changes are applied only if they result in their digest."""

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
_WEIGHTS_BY_VERSION = strategies.lists(_WEIGHTS, min_size=1, max_size=8)

#: Payloads in the order of delivery: the versions that each one starts after
#: and ends at, and whether it is a snapshot instead of changes.
_DELIVERIES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 8),
        strategies.integers(0, 8),
        strategies.booleans(),
    ),
    max_size=12,
)


class ApplyTest(testtools.TestCase):
    """Versions are identified by number and digest."""

    def test_digest_does_not_depend_on_order_or_number_format(self):
        first, second = 'a' * 64, 'b' * 64
        fields = samples.contract_fields(credential_sha256=[first, second])
        reordered = samples.contract_fields(
            credential_sha256=[second, first], weight=1.0
        )
        texts = [
            versions.encode_contract(contracts.Contract(**variant))
            for variant in (fields, reordered)
        ]
        self.assertThat(texts[0], matchers.Equals(texts[1]))

    def test_rejects_a_change_with_another_base_or_digest(self):
        snapshots, changes = samples.make_chain(
            samples.documents(acme=1), samples.documents(acme=2)
        )
        head = dataclasses.replace(changes[0].head, digest='0' * 64)
        wrong_digest = dataclasses.replace(changes[0], head=head)
        for change, expected in (
            (changes[1], 'change 2 does not follow version 0'),
            (wrong_digest, 'change 1 results in digest '),
        ):
            error = versions.apply(snapshots[0], change).unwrap_err()
            self.assertThat(error, matchers.StartsWith(expected))

    def test_parse_rejects_customers_that_share_a_credential(self):
        shared = samples.contract_fields()['credential_sha256']
        documents = versions.encode_contracts(
            contracts.Contract(
                **samples.contract_fields(name, credential_sha256=shared)
            )
            for name in ('acme', 'beta')
        )
        snapshots, _ = samples.make_chain(documents)
        self.assertThat(
            versions.parse(snapshots[1]).unwrap_err(),
            matchers.Contains('which acme also uses'),
        )

    @examples.settings()
    @hypothesis.given(_WEIGHTS_BY_VERSION, _DELIVERIES)
    def test_version_numbers_only_increase_for_any_delivery(
        self, weights_by_version, deliveries
    ):
        snapshots, changes = samples.make_chain(
            *(samples.documents(**weights) for weights in weights_by_version)
        )
        follower = samples.make_follower()
        numbers = []
        follower.active_version.subscribe(
            lambda version: numbers.append(version and version.number)
        )
        last = len(weights_by_version)
        # The last payload has all changes, so the newest version is reached.
        for start, end, is_snapshot in (*deliveries, (0, last, False)):
            payload = codec.Payload(
                snapshot=None, changes=tuple(changes[start:end])
            )
            if is_snapshot and 0 < end <= last:
                payload = codec.Payload(snapshot=snapshots[end], changes=())
            follower.offer(codec.encode_payload(payload))
            digest = snapshots[follower.number()].digest
            active_digest = (
                follower.state(now=0)['digest'] or versions.EMPTY.digest
            )
            self.assertThat(active_digest, matchers.Equals(digest))
        self.assertThat(numbers[0], matchers.Is(None))
        self.assertThat(numbers[1:], matchers.Equals(sorted(set(numbers[1:]))))
        self.assertThat(numbers[-1], matchers.Equals(last))


class CodecTest(testtools.TestCase):
    """The contents of rows and payloads are validated when decoded."""

    def test_round_trip_of_changes_and_snapshots(self):
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

    def test_rejects_malformed_payloads(self):
        snapshots, _ = samples.make_chain(samples.documents(acme=1))
        encoded = codec.encode_payload(
            codec.Payload(snapshot=snapshots[1], changes=())
        )
        for payload, expected in (
            (encoded[:-1], 'not valid JSON'),
            (encoded.replace(b'"weight":1.0', b'"weight":2.0'), 'but declares'),
            (encoded.replace(b'"number":1', b'"number":0'), 'snapshot.number'),
            (
                encoded.replace(b'acme', r'\ud800'.encode()),
                'invalid or duplicate customer',
            ),
            (b'\xff', 'not valid UTF-8'),
            (b' ' * (codec.MAX_PAYLOAD_BYTES + 1), 'at most'),
            (b'{"changes": [], "changes": []}', 'occurs twice'),
        ):
            error = codec.decode_payload(payload).unwrap_err()
            self.assertThat(error, matchers.Contains(expected))
