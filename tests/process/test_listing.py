"""Tests of the VM list: only valid and newer lists are used."""

import json
import random
import zlib

import testtools
from testtools import matchers

from sardineproxy import clock
from sardineproxy.process import directory, listing
from tests.version import samples


def vm_fields(name='w-1', **changes):
    return {
        'name': name,
        'role': 'endpoint',
        'state': 'live',
        'zone': 'z-1',
        'region': 'r-1',
        'host': '10.0.0.1',
        'port': 80,
        'slots': 8,
        'connections': 64,
        **changes,
    }


def encode_payload(revision, *vms):
    text = json.dumps({'revision': revision, 'vms': vms})
    return zlib.compress(text.encode())


def make_follower(client=None):
    return listing.ListFollower(
        platform=client,
        directory=directory.VmDirectory(),
        clock=clock.ManualClock(),
        rng=random.Random(3),
        cfg=listing.Config(),
    )


class ListFollowerTest(testtools.TestCase):
    """Guards against an outdated or malformed list replacing a newer one.

    The platform may return an older list, and a peer may be faulty.
    """

    @samples.with_platform
    async def test_older_lists_and_outages_do_not_replace_the_list(
        self, client
    ):
        tested = make_follower(client)
        revisions = []
        for control, document in (
            ('vms', {'vms': [vm_fields()]}),
            ('list-lag', {'seconds': 3600}),
            ('down', {'down': True}),
            ('vms', {'vms': []}),
            ('down', {'down': False}),
            ('list-lag', {'seconds': 0}),
        ):
            self.platform.control(control, document)
            await tested.poll_once()
            revisions.append(tested.revision())
        self.assertThat(revisions, matchers.Equals([1, 1, 1, 1, 1, 2]))

    def test_list_is_encoded_for_and_applied_by_a_peer(self):
        first, second = make_follower(), make_follower()
        vms = [
            vm_fields(state='leaving'),
            vm_fields('e-1', role='entry', host='fd00::1'),
        ]
        first.offer(encode_payload(4, *vms))
        second.offer(first.encode())
        self.assertThat(second.revision(), matchers.Equals(4))
        self.assertThat(second.encode(), matchers.Equals(first.encode()))
        second.offer(encode_payload(3))
        self.assertThat(second.state(now=0)['vms'], matchers.Equals(2))

    def test_rejects_malformed_payloads(self):
        valid = encode_payload(1, vm_fields())
        oversized = zlib.compress(bytes(listing.MAX_LIST_BYTES + 1))
        for payload, expected in (
            (b'', 'truncated'),
            (valid[:-9], 'truncated'),
            (b'plain', 'not compressed'),
            (oversized, 'too large when decompressed'),
            (bytes(listing.MAX_PAYLOAD_BYTES + 1), 'bytes exceeds'),
            (encode_payload(1, vm_fields(), vm_fields()), 'the same name'),
            (encode_payload(1, vm_fields(host='db.example')), 'IP address'),
            (encode_payload(1, vm_fields(port=0)), 'vms.0.port'),
            (encode_payload(1, vm_fields(slots=True)), 'vms.0.slots'),
            (encode_payload(1, vm_fields(state='dead')), 'vms.0.state'),
            (encode_payload(-1), 'revision'),
        ):
            error = listing.decode(payload).unwrap_err()
            self.assertThat(error, matchers.Contains(expected))
            tested = make_follower()
            tested.offer(payload)
            self.assertThat(tested.revision(), matchers.Equals(0))
