"""Rows of replicas and their reports, read into the product's records."""

from __future__ import annotations

from typing import Any

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport

REPLICA_TABLE = 'servers'
DRAINING = 'draining'


class _Held(msgspec.Struct, rename='pascal'):
    name: str
    version: int = 0
    adapters: list[Any] = []


class _Copies(msgspec.Struct, rename='pascal'):
    in_memory: list[Any] = []
    on_disk: list[Any] = []


class _Entry(msgspec.Struct, rename='pascal'):
    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: str = 'ready'
    remaining_ms: float | None = None
    models: list[_Held] = []
    seq_no: int = 0


class _Report(msgspec.Struct, rename='pascal'):
    models: list[_Held] = []
    is_busy: bool = False
    seq_no: int = 0
    queued: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    loading: list[str] = []
    state: str = ''
    available: _Copies | None = None


_entries = msgspec.json.Decoder(_Entry, strict=False)
_reports = msgspec.json.Decoder(_Report, strict=False)


def _name(item: Any) -> str:
    text = item if isinstance(item, str) else str(item.get('Name', ''))
    return text.partition('@')[0]


def _holdings(models: list[_Held]) -> tuple[Holding, ...]:
    return tuple(
        Holding(held.name, frozenset(_name(adapter) for adapter in held.adapters))
        for held in models
    )


def _loading(text: str) -> tuple[str, str]:
    model, _, adapter = text.partition('@')[0].partition('/')
    return model, adapter


def read_record(replica_id: str, value: bytes) -> ReplicaRecord:
    """Return the record in a replica's row; raises :exc:`InvalidDocument`."""
    try:
        entry = _entries.decode(value)
    except msgspec.MsgspecError as error:
        raise InvalidDocument([Problem(replica_id, str(error))]) from None
    return ReplicaRecord(
        replica_id=replica_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        leaving=entry.state == DRAINING,
        leaves_in_s=None if entry.remaining_ms is None else entry.remaining_ms / 1000,
        holdings=_holdings(entry.models),
        beat_number=entry.seq_no,
    )


def read_report(value: bytes) -> ReplicaReport:
    """Return a replica's report; raises :exc:`InvalidDocument`."""
    try:
        report = _reports.decode(value)
    except msgspec.MsgspecError as error:
        raise InvalidDocument([Problem('report', str(error))]) from None
    copies = report.available or _Copies()
    return ReplicaReport(
        holdings=_holdings(report.models),
        busy=report.is_busy,
        order_number=report.seq_no,
        loading=tuple(_loading(text) for text in report.loading),
        queued=report.queued,
        running=report.running,
        memory_used=report.kv_used,
        memory_total=report.kv_total,
        in_memory=frozenset(_name(item) for item in copies.in_memory),
        on_disk=frozenset(_name(item) for item in copies.on_disk),
        leaving=report.state == DRAINING,
    )
