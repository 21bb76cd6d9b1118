"""Types of the identifiers that the parts share."""

from typing import NewType

CustomerId = NewType('CustomerId', str)
EndpointId = NewType('EndpointId', str)
VmId = NewType('VmId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)

#: Random hexadecimal name of one run of an entry process.
Incarnation = NewType('Incarnation', str)

#: Idempotency key, or the id that an entry process gives to a keyless request.
RequestId = NewType('RequestId', str)

#: Number of a configuration version; the first is 1.
VersionNumber = NewType('VersionNumber', int)

#: A client's name of a job.
JobId = NewType('JobId', str)

#: Name of one life of a worker in the platform's list.
WorkerId = NewType('WorkerId', str)

#: The workers of one availability zone that one entry VM dispatches to.
ShardId = NewType('ShardId', str)

#: Name of a service, a pool of workers that run the same tasks.
ServiceId = NewType('ServiceId', str)

#: Name of a route in the configuration.
RouteId = NewType('RouteId', str)
