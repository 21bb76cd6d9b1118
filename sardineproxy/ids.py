"""Types of identifiers that several packages use."""

from typing import NewType

CustomerId = NewType('CustomerId', str)
EndpointId = NewType('EndpointId', str)
VmId = NewType('VmId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)

#: Random hexadecimal id of one execution of an entry process.
Incarnation = NewType('Incarnation', str)

#: Idempotency key, or the id that an entry process assigns to a request without
#: one.
RequestId = NewType('RequestId', str)

#: Number of a configuration version; the first is 1.
VersionNumber = NewType('VersionNumber', int)

#: Id of a job, chosen by the client.
JobId = NewType('JobId', str)

#: Id of a worker instance in the platform's list of workers.
WorkerId = NewType('WorkerId', str)

#: Id of a shard: the workers of one availability zone, which one entry VM
#: dispatches to.
ShardId = NewType('ShardId', str)

#: Name of a service: a pool of workers that run the same tasks.
ServiceId = NewType('ServiceId', str)

#: Name of a route in the configuration.
RouteId = NewType('RouteId', str)
