"""Reads the rows and status reports of replicas.

Owns the formats. Unused fields are not declared; the decoder skips them. Comments explain
fields whose platform name is misleading.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.addresses import is_ip_address_and_port
from limeshelf.util.decoding import DECODE_ERRORS, MAX_WHOLE_NUMBER, Count

if TYPE_CHECKING:
    from limeshelf.feeds.restore_rule import WriterVersion

#: Table of the store in which replicas register.
REPLICA_TABLE = 'servers'
#: State of a replica that accepts calls.
READY = 'ready'
#: State of a replica that accepts no new calls and will stop soon.
DRAINING = 'draining'
#: No replica runs more calls at once; with a larger number it would get all calls.
MAX_SLOTS = 1_000_000


class _LoadedModel(msgspec.Struct, rename='pascal'):
    """A model whose weights are loaded and ready."""

    name: str
    #: Ready adapters: either names or objects with a name.
    adapters: list[Any] = []


class _LocalCopies(msgspec.Struct, rename='pascal'):
    """Local copies of weights: not ready for calls, but loaded without the weight store."""

    #: In the main memory of the replica's machine, not in its accelerator.
    in_memory: list[Any] = []
    on_disk: list[Any] = []


class _ReplicaRow(msgspec.Struct, rename='pascal'):
    """The row of a replica; replicas always write the fields without a default."""

    service: str
    address: str
    #: The data centre.
    zone: str
    #: Number of calls that it runs concurrently; it queues a few more.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    #: Counts heartbeats, whereas the field of the same name in a report counts accepted
    #: orders. If the two are confused, the replica refuses every order.
    seq_no: Count
    #: Time until the replica stops, regardless of running calls; set only by a replica that
    #: stops at short notice.
    remaining_ms: float | None = None
    models: list[_LoadedModel] = []
    #: Of the replica's software; a model has a version of its weights.
    version: Any = ''
    #: Start time in Unix milliseconds; the only name in lower case.
    born: Any = msgspec.field(name='born', default=None)


class _Report(msgspec.Struct, rename='pascal'):
    models: list[_LoadedModel] = []
    #: An order is in progress; independent of calls.
    is_busy: bool = False
    #: Orders accepted since its start, including those for adapters; not heartbeats as in the
    #: row.
    seq_no: Count = 0
    #: Number of queued calls.
    queued: Count = 0
    #: Number of calls in the batch.
    running: Count = 0
    #: Cache use in tokens, without cached prompts that can be evicted.
    kv_used: Count = 0
    #: Adapters being loaded, as MODEL/NAME@VERSION; they already take up capacity.
    loading: list[str] = []
    #: As in the row; empty if not stated.
    state: str = ''
    available: _LocalCopies | None = None
    #: As in the row.
    born: Any = msgspec.field(name='born', default=None)


_MS_PER_S = 1000.0


class _RowAge(msgspec.Struct, rename='pascal'):
    """The fields that order the rows of one replica by age."""

    seq_no: Count
    born: Any = msgspec.field(name='born', default=None)


_row_decoder = msgspec.json.Decoder(_ReplicaRow)
_row_age_decoder = msgspec.json.Decoder(_RowAge)
_report_decoder = msgspec.json.Decoder(_Report)


def _item_name(item: Any) -> str:
    """Return the name in NAME@VERSION or in an object with such a name.

    :raises InvalidDocument: the item has no name.
    """
    text = item.get('Name') if isinstance(item, dict) else item
    if not isinstance(text, str):
        raise InvalidDocument([Problem('Name', 'is not a string')])
    return text.partition('@')[0]


def _born_ms(born: Any) -> int | None:
    """Return the start time of a replica; ``None`` if it states none.

    :raises InvalidDocument: the start time is no whole number, or none that can be passed on.
    """
    if born is None:
        return None
    if type(born) is not int or not 0 <= born <= MAX_WHOLE_NUMBER:
        raise InvalidDocument([Problem('born', 'is not a time in milliseconds since 1970')])
    return born


def _check_row(replica_id: str, row: _ReplicaRow) -> None:
    """Check the values of a row whose fields have the right types.

    Programs other than replicas may write rows too. Without these checks, calls would be sent
    to an address without a port or to a replica in an unknown state and never be answered.

    :raises InvalidDocument: with one problem for each invalid field.
    """
    checks = {
        'Service': bool(row.service),
        'Address': is_ip_address_and_port(row.address),
        'State': row.state in (READY, DRAINING),
    }
    problems = [
        Problem(f'{replica_id}.{name}', 'unusable') for name, ok in checks.items() if not ok
    ]
    if problems:
        raise InvalidDocument(problems)


def _holdings(models: list[_LoadedModel]) -> tuple[Holding, ...]:
    return tuple(
        Holding(held.name, frozenset(_item_name(adapter) for adapter in held.adapters))
        for held in models
    )


def _split_loading(text: str) -> tuple[str, str]:
    """Return the model and the adapter in MODEL/NAME@VERSION."""
    model, _, adapter = text.partition('@')[0].partition('/')
    return model, adapter


def read_record(replica_id: str, value: bytes) -> ReplicaRecord:
    """Return the record in a replica's row.

    :raises InvalidDocument: the value is not a valid record; lists the faults.
    """
    try:
        row = _row_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem(replica_id, str(error))]) from None
    _check_row(replica_id, row)
    return ReplicaRecord(
        replica_id=replica_id,
        service=row.service,
        address=row.address,
        data_centre=row.zone,
        slots=row.slots,
        leaving=row.state == DRAINING,
        leaves_in_s=None if row.remaining_ms is None else max(0.0, row.remaining_ms / _MS_PER_S),
        holdings=_holdings(row.models),
        heartbeat_number=row.seq_no,
        born_ms=_born_ms(row.born),
        version=row.version if isinstance(row.version, str) else '',
    )


def record_writer_version(value: bytes) -> WriterVersion:
    """Return the start time and heartbeat count of a replica's row; empty if unreadable."""
    try:
        age = _row_age_decoder.decode(value)
        return (_born_ms(age.born) or 0, age.seq_no)
    except (*DECODE_ERRORS, InvalidDocument):
        return ()


def is_heartbeat(known: bytes, new: bytes) -> bool:
    """Return whether two values of a replica's row differ in no field but the heartbeat count."""
    try:
        before, after = _row_decoder.decode(known), _row_decoder.decode(new)
    except DECODE_ERRORS:
        # A row that cannot be read is passed on as it is.
        return False
    before.seq_no = after.seq_no
    return before == after


def read_report(value: bytes) -> ReplicaReport:
    """Return the report in the body of a replica's response.

    :raises InvalidDocument: the body is not a valid report; lists the faults.
    """
    try:
        report = _report_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem('report', str(error))]) from None
    copies = report.available or _LocalCopies()
    return ReplicaReport(
        holdings=_holdings(report.models),
        busy=report.is_busy,
        order_number=report.seq_no,
        loading=tuple(_split_loading(text) for text in report.loading),
        queued=report.queued,
        running=report.running,
        memory_used=report.kv_used,
        in_memory=frozenset(_item_name(item) for item in copies.in_memory),
        on_disk=frozenset(_item_name(item) for item in copies.on_disk),
        leaving=report.state == DRAINING,
        born_ms=_born_ms(report.born),
    )
