"""Tests of the VM directory: lookups return VMs of the newest list."""

import testtools
from testtools import matchers

from sardineproxy.process import directory, listing
from tests.process import test_listing


def make_list(revision, *vms):
    document = {'revision': revision, 'vms': list(vms)}
    return listing.from_document(document).unwrap()


class DirectoryTest(testtools.TestCase):
    """Guards against lookups in an outdated list."""

    def test_looks_up_by_role(self):
        tested = directory.VmDirectory()
        vms = [
            test_listing.vm_fields('a', role=role)
            for role in ('entry', 'endpoint')
        ]
        tested.offer(make_list(2, *vms))
        entry, endpoint = tested.newest.vms
        self.assertThat(tested.entry_vms(), matchers.Equals((entry,)))
        self.assertThat(tested.endpoints(), matchers.Equals((endpoint,)))
        self.assertThat(tested.endpoint('a'), matchers.Is(endpoint))

    def test_drops_endpoints_missing_from_a_newer_list(self):
        tested = directory.VmDirectory()
        revisions = []
        tested.listing.subscribe(
            lambda newest: revisions.append(newest.revision)
        )
        accepted = [
            tested.offer(make_list(2, test_listing.vm_fields('a'))),
            tested.offer(make_list(3)),
            tested.offer(make_list(2, test_listing.vm_fields('a'))),
        ]
        self.assertThat(accepted, matchers.Equals([True, True, False]))
        self.assertThat(tested.endpoint('a'), matchers.Is(None))
        self.assertThat(revisions, matchers.Equals([0, 2, 3]))
