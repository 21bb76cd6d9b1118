"""Versions of the whole set of contracts."""

import dataclasses
from typing import Mapping

from sardineproxy import ids
from sardineproxy.version import contracts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """All contracts of one configuration version."""

    number: ids.VersionNumber

    #: SHA-256 over the canonical form of all contracts, hexadecimal.
    digest: str
    contracts: Mapping[ids.CustomerId, contracts.Contract]
