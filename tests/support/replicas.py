"""Replicas for tests that need no more of them than their ids."""

from __future__ import annotations

from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica


def plain_replica(replica_id: str) -> Replica:
    """Return a replica that has been listed, and has not stated when it started."""
    directory = ReplicaDirectory(lambda *_: None)
    directory.apply_record(
        ReplicaRecord(replica_id, 's', '127.0.0.1:1', 'z1', 4, False, None, (), 1)
    )
    replica = directory.get(replica_id)
    assert replica is not None
    return replica
