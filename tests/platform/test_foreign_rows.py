"""Rows written by other programs: invalid ones are rejected without affecting the others."""

from __future__ import annotations

import base64
import json
import math
from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from limeshelf.errors import InvalidDocument
from limeshelf.feeds.rows import Row
from limeshelf.peers.codec import decode
from limeshelf.peers.framing import MalformedMessage
from limeshelf.platform.configuration import read_config
from limeshelf.platform.replicas import read_record, read_report
from limeshelf.platform.store_messages import read_rows
from limeshelf.replicas.directory import ReplicaDirectory
from tests.support.gateway import configuration
from tests.support.positions import make_position

VALID_ROW: dict[str, Any] = {
    'Service': 's',
    'Address': '10.0.0.1:8080',
    'Zone': 'z1',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdLeftMs': 0,
    'SeqNo': 1,
    'Models': [{'Name': 'm1', 'Version': 1, 'Adapters': ['a1', {'Name': 'a2@1'}]}],
}
VALID_REPORT: dict[str, Any] = {
    'Stage': 'colocated',
    'Models': [{'Name': 'm1', 'Version': 1, 'Adapters': ['a1']}],
    'IsBusy': False,
    'SeqNo': 2,
    'Queued': 1,
    'Running': 12,
    'KvUsed': 41000,
    'KvTotal': 90000,
    'ServedModels': 0,
}
#: ``Infinity`` is not valid JSON.
FINITE = st.floats(allow_nan=False, allow_infinity=False)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | FINITE | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
REQUIRED = ('Service', 'Address', 'Zone', 'Slots', 'State', 'SeqNo')


def to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def row_value(**changes: Any) -> bytes:
    return json.dumps({**VALID_ROW, **changes}).encode()


def response_body(*rows: Any) -> bytes:
    return json.dumps({'Rows': list(rows), 'ver': 9}).encode()


@given(bad=ANY_JSON | st.builds(lambda value: {'Key': 'bad', 'ver': 8, 'Value': value}, ANY_JSON))
def test_malformed_row_does_not_affect_others_of_its_response(bad: Any) -> None:
    good = {'Key': 'r1', 'ver': 7, 'Value': to_base64(row_value())}
    other = {'Key': 'r2', 'ver': 9, 'Value': to_base64(row_value(Address='10.0.0.2:8080'))}
    rows = read_rows(response_body(good, bad, other), 'servers')
    assert Row('r1', row_value(), make_position(7)) in rows
    assert Row('r2', row_value(Address='10.0.0.2:8080'), make_position(9)) in rows


@given(
    value=st.binary()
    | (ANY_JSON | st.sampled_from([math.inf, -math.inf])).map(
        lambda value: json.dumps(value).encode()
    )
)
def test_any_bytes_decode_or_raise_invalid_document(value: bytes) -> None:
    for read in (lambda: read_record('r1', value), lambda: read_report(value)):
        try:
            read()
        except InvalidDocument:
            continue


@given(
    name=st.sampled_from([*VALID_ROW, 'RemainingMs', 'born']),
    value=ANY_JSON,
)
def test_changed_field_of_a_row_raises_no_other_error(name: str, value: Any) -> None:
    try:
        record = read_record('r1', row_value(**{name: value}))
    except InvalidDocument:
        return
    assert record.slots >= 1
    assert record.service
    assert record.address.rpartition(':')[2].isdigit()


@given(name=st.sampled_from([*VALID_REPORT, 'Available', 'Loading', 'State']), value=ANY_JSON)
def test_changed_field_of_a_report_raises_no_other_error(name: str, value: Any) -> None:
    try:
        read_report(json.dumps({**VALID_REPORT, name: value}).encode())
    except InvalidDocument:
        return


@given(
    name=st.sampled_from(['Version', 'Routes', 'Services', 'Limits', 'Tenants']), value=ANY_JSON
)
def test_changed_field_of_a_configuration_raises_no_other_error(name: str, value: Any) -> None:
    try:
        read_config(json.dumps({**configuration(1), name: value}).encode())
    except InvalidDocument:
        return


@given(value=st.binary())
def test_any_bytes_from_a_peer_decode_or_raise_malformed_message(value: bytes) -> None:
    try:
        decode(value)
    except MalformedMessage:
        return


@pytest.mark.parametrize('name', REQUIRED)
def test_row_without_a_required_field_is_rejected(name: str) -> None:
    value = {key: field for key, field in VALID_ROW.items() if key != name}
    with pytest.raises(InvalidDocument):
        read_record('r1', json.dumps(value).encode())


@pytest.mark.parametrize(
    'changes',
    [
        {'State': 'zzz'},
        {'State': ''},
        {'Service': ''},
        {'Address': 'nope'},
        {'Address': ':80'},
        {'Address': '10.0.0.1:0'},
        {'Address': '10.0.0.1:70000'},
        {'Address': '10.0.0.1:8o'},
        {'Slots': -3},
        {'Slots': 0},
        {'Slots': '4'},
        {'Slots': True},
        {'SeqNo': '1'},
        {'Models': [{'Name': 'm1', 'Adapters': [7]}]},
        {'Models': [{'Name': 'm1', 'Adapters': [{'Name': 7}]}]},
        {'Models': [{'Adapters': []}]},
        {'Address': '10.0.0.1:' + '8' * 5000},
        {'Address': '999.0.0.1:80'},
        {'Address': 'host:80'},
        {'Slots': 2**63},
        {'Slots': 2**200},
        {'SeqNo': -5},
        {'SeqNo': 2**63},
        {'born': 2**70},
        {'born': -(2**70)},
        {'born': 10**400},
    ],
)
def test_row_with_an_invalid_value_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidDocument):
        read_record('r1', row_value(**changes))


@pytest.mark.parametrize('name', ['SeqNo', 'Queued', 'Running', 'KvUsed', 'born'])
def test_report_with_a_number_too_large_is_rejected(name: str) -> None:
    with pytest.raises(InvalidDocument):
        read_report(json.dumps({**VALID_REPORT, name: 2**64}).encode())


@given(st.sampled_from(['Slots', 'SeqNo', 'RemainingMs', 'born']), st.integers() | FINITE)
@example('born', 2**70)
def test_numbers_of_a_row_that_is_accepted_can_be_passed_on(name: str, value: float) -> None:
    """Guards against one odd row that ends the tasks which send messages about replicas."""
    try:
        record = read_record('r1', row_value(**{name: value}))
    except InvalidDocument:
        return
    msgspec.msgpack.encode(record)


def test_nested_too_deeply_is_rejected() -> None:
    for depth in (100, 1_500, 100_000):
        nested = '[' * depth + ']' * depth
        value = json.dumps({**VALID_ROW, 'Models': 0}).replace(
            '"Models": 0', f'"Models": {nested}'
        )
        with pytest.raises(InvalidDocument):
            read_record('r1', value.encode())


@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_known_states_are_read(state: str) -> None:
    assert read_record('r1', row_value(State=state)).leaving is (state == 'draining')


def test_replica_whose_row_turns_unreadable_takes_no_calls_until_it_is_readable() -> None:
    directory = ReplicaDirectory(read_record)
    directory.apply_row(Row('r1', row_value(), make_position(1)))
    assert [replica.replica_id for replica in directory.of_service('s')] == ['r1']
    directory.apply_row(Row('r1', b'no row', make_position(2)))
    assert directory.of_service('s') == []
    directory.apply_row(Row('r1', row_value(SeqNo=2), make_position(3)))
    assert [replica.replica_id for replica in directory.of_service('s')] == ['r1']
