"""Look-ups always match the newest list."""

import testtools
from testtools import matchers

from sardineproxy.process import directory, listing
from tests.process import test_listing


def vm_list(revision, *vms):
    document = {'revision': revision, 'vms': list(vms)}
    return listing.from_document(document).unwrap()


class DirectoryTest(testtools.TestCase):
    """An older list never replaces a newer one."""

    def test_looks_up_by_role(self):
        target = directory.VmDirectory()
        both = [
            test_listing.vm_fields('a', role=role)
            for role in ('entry', 'endpoint')
        ]
        target.offer(vm_list(2, *both))
        entry, endpoint = target.newest.vms
        self.assertThat(target.entry_vms(), matchers.Equals((entry,)))
        self.assertThat(target.endpoints(), matchers.Equals((endpoint,)))
        self.assertThat(target.endpoint('a'), matchers.Is(endpoint))

    def test_forgets_endpoints_that_a_newer_list_lacks(self):
        target = directory.VmDirectory()
        seen = []
        target.listing.subscribe(lambda newest: seen.append(newest.revision))
        taken = [
            target.offer(vm_list(2, test_listing.vm_fields('a'))),
            target.offer(vm_list(3)),
            target.offer(vm_list(2, test_listing.vm_fields('a'))),
        ]
        self.assertThat(taken, matchers.Equals([True, True, False]))
        self.assertThat(target.endpoint('a'), matchers.Is(None))
        self.assertThat(seen, matchers.Equals([0, 2, 3]))
