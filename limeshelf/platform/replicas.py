"""Rows of replicas and their reports, read into the product's records.

Owns the formats. Fields that nothing reads are not declared; the decoder passes
over them. The comments stand where the platform's name misleads.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from limeshelf.feeds.return_rule import Newness

#: Table of the store in which replicas record themselves.
REPLICA_TABLE = 'servers'
#: State of a replica that takes calls.
READY = 'ready'
#: State of a replica that takes no new calls and ends before long.
DRAINING = 'draining'
#: A host, or an IPv6 address in brackets, and a port.
_ADDRESS = re.compile(r'(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})')
MAX_PORT = 65535


class _Held(msgspec.Struct, rename='pascal'):
    """A model whose weights are loaded and ready."""

    name: str
    #: Ready adapters: names, or objects with a name.
    adapters: list[Any] = []


class _Copies(msgspec.Struct, rename='pascal'):
    """Weights that a load need not fetch from the store; not ready for calls."""

    #: Memory of the replica's machine, not of its accelerator.
    in_memory: list[Any] = []
    on_disk: list[Any] = []


class _Entry(msgspec.Struct, rename='pascal'):
    """A replica's row; what has no default is in each that a replica writes."""

    service: str
    address: str
    #: The data centre.
    zone: str
    #: Calls that it works on at once; it queues a few more.
    slots: int
    state: str
    #: Heartbeats here, but orders taken in a report (every order of a day was refused when the two
    #: were mixed up).
    seq_no: int
    #: Time until the replica is gone, whatever it runs; stated only by
    #: one that goes at short notice.
    remaining_ms: float | None = None
    models: list[_Held] = []
    #: Unix milliseconds of its start; this name alone is written in small letters.
    born: Any = msgspec.field(name='born', default=None)


class _Report(msgspec.Struct, rename='pascal'):
    models: list[_Held] = []
    #: An order is under way; says nothing of calls.
    is_busy: bool = False
    #: Orders taken since its start, adapters' included; not heartbeats as in its row.
    seq_no: int = 0
    #: Calls that wait there.
    queued: int = 0
    #: Calls in its batch.
    running: int = 0
    #: Tokens of memory that cannot be evicted; kept prompts that can are not in it.
    kv_used: int = 0
    #: Adapters on their way, as MODEL/NAME@VERSION; they count as held for room.
    loading: list[str] = []
    #: As in its row; empty if not stated.
    state: str = ''
    available: _Copies | None = None
    #: As in its row.
    born: Any = msgspec.field(name='born', default=None)


_MS = 1000.0


class _Beat(msgspec.Struct, rename='pascal'):
    """What tells the rows of one replica apart by their age."""

    seq_no: int
    born: Any = msgspec.field(name='born', default=None)


_entries = msgspec.json.Decoder(_Entry)
_beats = msgspec.json.Decoder(_Beat)
_reports = msgspec.json.Decoder(_Report)


def _name(item: Any) -> str:
    """Return the name in NAME@VERSION, or in an object with such a name.

    :raises InvalidDocument: there is no name in it.
    """
    text = item.get('Name') if isinstance(item, dict) else item
    if not isinstance(text, str):
        raise InvalidDocument([Problem('Name', 'is no text')])
    return text.partition('@')[0]


def _born_ms(born: Any) -> int | None:
    """Return when a replica started, if it says so.

    :raises InvalidDocument: it is no whole number.
    """
    if born is None:
        return None
    if type(born) is not int:
        raise InvalidDocument([Problem('born', 'is no whole number')])
    return born


def _check(replica_id: str, entry: _Entry) -> None:
    """Raise what makes an entry unusable although its fields have their types.

    Others may write rows, too. What is taken as it comes, an address without a port or a state
    that nobody knows, gets calls that nobody answers.
    """
    address = _ADDRESS.fullmatch(entry.address)
    checks = {
        'Service': bool(entry.service),
        'Address': address is not None and 0 < int(address[1]) <= MAX_PORT,
        'Slots': entry.slots >= 1,
        'State': entry.state in (READY, DRAINING),
    }
    problems = [
        Problem(f'{replica_id}.{name}', 'unusable') for name, ok in checks.items() if not ok
    ]
    if problems:
        raise InvalidDocument(problems)


def _holdings(models: list[_Held]) -> tuple[Holding, ...]:
    return tuple(
        Holding(held.name, frozenset(_name(adapter) for adapter in held.adapters))
        for held in models
    )


def _loading(text: str) -> tuple[str, str]:
    """Return model and adapter of MODEL/NAME@VERSION."""
    model, _, adapter = text.partition('@')[0].partition('/')
    return model, adapter


def read_record(replica_id: str, value: bytes) -> ReplicaRecord:
    """Return the record in a replica's row.

    :raises InvalidDocument: it is no record, with what is wrong with it.
    """
    try:
        entry = _entries.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem(replica_id, str(error))]) from None
    _check(replica_id, entry)
    return ReplicaRecord(
        replica_id=replica_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        leaving=entry.state == DRAINING,
        leaves_in_s=None if entry.remaining_ms is None else entry.remaining_ms / _MS,
        holdings=_holdings(entry.models),
        beat_number=entry.seq_no,
        born_ms=_born_ms(entry.born),
    )


def record_newness(value: bytes) -> Newness:
    """Return how new a replica's row is: by its start, then by its heartbeats."""
    try:
        beat = _beats.decode(value)
        return (_born_ms(beat.born) or 0, beat.seq_no)
    except (*DECODE_ERRORS, InvalidDocument):
        return ()


def read_report(value: bytes) -> ReplicaReport:
    """Return the report in the body of a replica's answer.

    :raises InvalidDocument: it is no report, with what is wrong with it.
    """
    try:
        report = _reports.decode(value)
    except DECODE_ERRORS as error:
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
        in_memory=frozenset(_name(item) for item in copies.in_memory),
        on_disk=frozenset(_name(item) for item in copies.on_disk),
        leaving=report.state == DRAINING,
        born_ms=_born_ms(report.born),
    )
