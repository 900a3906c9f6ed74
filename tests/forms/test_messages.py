"""The messages between processes keep their bytes, whatever the classes are called.

``messages.json`` holds recorded frames: the wire kind, the frame in hex, and the same message
with the name of each field. When a test here turns red, a change altered the wire, and
processes of the old and the new release no longer understand one another: give the field (or
the kind, or the enum's value) its encoded name and place back. Change the recording only
together with a wire change that both releases bear; record a new kind with
``encode(Envelope('10.0.0.1:7001', 'z1', message)).hex()`` and :func:`named`, every field other
than its default.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import msgspec
import pytest

# Importing a module registers its kinds; this is the one place that names the modules.
import limeshelf.dispatch.messages
import limeshelf.membership.messages
import limeshelf.membership.row_messages
import limeshelf.standalone.messages
import limeshelf.streams.messages  # noqa: F401
from limeshelf.membership.row_conversion import (
    position_from_message,
    requested_position,
    rows_from_update,
)
from limeshelf.membership.row_messages import NO_ERA, NO_VERSION
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.messages import message_classes
from tests.support.positions import make_position

RECORDED = json.loads((Path(__file__).parent / 'messages.json').read_text())
SENDER = ('10.0.0.1:7001', 'z1')
#: States of a leader of the release that did not say whether it may order.
OLD_STATES = (
    '84a4626f647984a761776169746564919293a26c6da26d31a26132cd0352a566656e636505a67374'
    '617465739197a3722d31089192a26d3192a26131a261320604cd1b58c3a577686f6c65c2ab646174'
    '615f63656e747265a27a31a46b696e64ae7265706c6963612d737461746573a673656e646572ad31'
    '302e302e302e313a37303031'
)
#: States of a leader of the release that did not say when a replica started.
STATES_WITHOUT_STARTS = (
    '84a4626f647985a761776169746564919293a26c6da26d31a26132cd0352a566656e636505a96d61'
    '795f6f72646572c2a67374617465739197a3722d31089192a26d3192a26131a261320604cd1b58c3'
    'a577686f6c65c2ab646174615f63656e747265a27a31a46b696e64ae7265706c6963612d73746174'
    '6573a673656e646572ad31302e302e302e313a37303031'
)
#: Notices of the release that did not read how many rejections a replica bears.
NOTICES_WITHOUT_REJECTIONS = (
    '84a4626f647981a76e6f74696365739195a3722d31cf0000019f81f4dcc0cb400266666666666678'
    'c3ab646174615f63656e747265a27a31a46b696e64af7265706c6963612d6e6f7469636573a67365'
    '6e646572ad31302e302e302e313a37303031'
)
#: Suspects of the release that did not tell of trials.
SUSPECTS_WITHOUT_TRIALS = (
    '84a4626f647981a4656e64739195a3722d31cf0000019f81f4dcc0c3c392c4086161626263636464'
    'c4086565666667676868ab646174615f63656e747265a27a31a46b696e64ae63726173682d737573'
    '7065637473a673656e646572ad31302e302e302e313a37303031'
)
#: A verdict of the release whose grants brought no turns.
OLD_VERDICT = (
    '84a4626f647984a46b696e64a76772616e746564aa7265706c6963615f6964a3722d31a97469636b'
    '65745f6964a3742d31a7776169745f6d7323ab646174615f63656e747265a27a31a46b696e64b064'
    '697370617463682d76657264696374a673656e646572ad31302e302e302e313a37303031'
)
#: Frames of the release whose leader granted the calls of all data centres.
OLD_DIGEST = (
    '84a4626f647989a761646472657373ad31302e302e302e313a37303031ae636f6e6669675f766572'
    '73696f6e07ab646174615f63656e747265a27a32a764656d616e6473929693a26c6da26d31a26132'
    '0b0201cd01c2cd03849693a26c6da26d32a0040100ccfa50a566656e636505ab696e7374616e6365'
    '5f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d320132c2a66e756d62657266'
    'a6776569676874cb400c000000000000ab646174615f63656e747265a27a31a46b696e64ae676174'
    '657761792d646967657374a673656e646572ad31302e302e302e313a37303031'
)
OLD_BUNDLE = (
    '84a4626f647981a7646967657374739289a761646472657373ad31302e302e302e313a37303031ae'
    '636f6e6669675f76657273696f6e07ab646174615f63656e747265a27a32a764656d616e64739296'
    '93a26c6da26d31a261320b0201cd01c2cd03849693a26c6da26d32a0040100ccfa50a566656e6365'
    '05ab696e7374616e63655f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d3201'
    '32c2a66e756d62657266a6776569676874cb400c00000000000089a761646472657373ad31302e30'
    '2e302e323a37303031ae636f6e6669675f76657273696f6e07ab646174615f63656e747265a27a32'
    'a764656d616e6473929693a26c6da26d31a261320b0201cd01c2cd03849693a26c6da26d32a00401'
    '00ccfa50a566656e636505ab696e7374616e63655f6964a3672d32a56c6f6164739294a3722d3103'
    'cd0190c394a3722d320132c2a66e756d62657267a6776569676874cb4012000000000000ab646174'
    '615f63656e747265a27a31a46b696e64ad6469676573742d62756e646c65a673656e646572ad3130'
    '2e302e302e313a37303031'
)
OLD_SUMMARY = (
    '84a4626f647982a867617465776179730ca56c6f6164739294a3722d3103cd0190c394a3722d3201'
    '32c2ab646174615f63656e747265a27a31a46b696e64ad666c6565742d73756d6d617279a673656e'
    '646572ad31302e302e302e313a37303031'
)
#: Frames of the release that told no time of the store's clock.
OLD_ROWS_QUERY = (
    '84a4626f647981a876657273696f6e7382a26f7007a77365727665727366ab646174615f63656e74'
    '7265a27a31a46b696e64aa726f77732d7175657279a673656e646572ad31302e302e302e313a3730'
    '3031'
)
OLD_UPDATES = (
    '84a4626f647981a5776f7264739195a7736572766572735a660f9294a3722d31c4107b2253657276'
    '696365223a226c6d227d65c294a3722d32c40066c3ab646174615f63656e747265a27a31a46b696e'
    '64ab7461626c652d776f726473a673656e646572ad31302e302e302e313a37303031'
)
#: Frames of the release that did not say what gateways use of limits.
DIGEST_WITHOUT_USAGE = (
    '84a4626f64798aa761646472657373ad31302e302e302e313a37303031ae636f6e6669675f766572'
    '73696f6e07ab646174615f63656e747265a27a32a764656d616e6473929793a26c6da26d31a26132'
    '0b0201cd01c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e636505ab696e7374616e'
    '63655f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d320132c2a66e756d6265'
    '7266aa72656164696e675f6d7381a26d31cb3fd0000000000000a6776569676874cb400c00000000'
    '0000ab646174615f63656e747265a27a31a46b696e64ae676174657761792d646967657374a67365'
    '6e646572ad31302e302e302e313a37303031'
)
BUNDLE_WITHOUT_USAGE = (
    '84a4626f647983a764696765737473928aa761646472657373ad31302e302e302e313a37303031ae'
    '636f6e6669675f76657273696f6e07ab646174615f63656e747265a27a32a764656d616e64739297'
    '93a26c6da26d31a261320b0201cd01c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e'
    '636505ab696e7374616e63655f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d'
    '320132c2a66e756d62657266aa72656164696e675f6d7381a26d31cb3fd0000000000000a6776569'
    '676874cb400c0000000000008aa761646472657373ad31302e302e302e323a37303031ae636f6e66'
    '69675f76657273696f6e07ab646174615f63656e747265a27a32a764656d616e6473929793a26c6d'
    'a26d31a261320b0201cd01c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e636505ab'
    '696e7374616e63655f6964a3672d32a56c6f6164739294a3722d3103cd0190c394a3722d320132c2'
    'a66e756d62657267aa72656164696e675f6d7381a26d31cb3fd0000000000000a6776569676874cb'
    '4012000000000000aa64697370617463686572ad31302e302e302e323a37303031a8676174657761'
    '797309ab646174615f63656e747265a27a31a46b696e64ad6469676573742d62756e646c65a67365'
    '6e646572ad31302e302e302e313a37303031'
)
#: Frames of the release that knew no eras of the store.
ROWS_QUERY_WITHOUT_ERAS = (
    '84a4626f647982a861736b65645f6d73cda028a876657273696f6e7382a26f7007a7736572766572'
    '7366ab646174615f63656e747265a27a31a46b696e64aa726f77732d7175657279a673656e646572'
    'ad31302e302e302e313a37303031'
)
UPDATES_WITHOUT_ERAS = (
    '84a4626f647983a861736b65645f6d73cda028a873746f72655f6d73ce00011f1ca5776f72647391'
    '96a7736572766572735a660f9294a3722d31c4107b2253657276696365223a226c6d227d65c294a3'
    '722d32c40066c3ce00011d28ab646174615f63656e747265a27a31a46b696e64ab7461626c652d77'
    '6f726473a673656e646572ad31302e302e302e313a37303031'
)
#: Updates of the release that did not say from where on it knows all deletions.
UPDATES_WITHOUT_SEEN_FROM = (
    '84a4626f647984a861736b65645f6d73cda028a973746f72655f65726103a873746f72655f6d73ce'
    '00011f1ca5776f7264739198a7736572766572735a660f9295a3722d31c4107b2253657276696365'
    '223a226c6d227d65c20395a3722d32c4107b2253657276696365223a226c6d227d66c303ce00011d'
    '280203ab646174615f63656e747265a27a31a46b696e64ab7461626c652d776f726473a673656e64'
    '6572ad31302e302e302e313a37303031'
)
#: Frames of the release that did not tell since when calls are served or wait.
DIGEST_WITHOUT_AGES = (
    '84a4626f64798ca761646472657373ad31302e302e302e313a37303031ae636f6e6669675f766572'
    '73696f6e07ab646174615f63656e747265a27a32a764656d616e6473929793a26c6da26d31a26132'
    '0b0201cd01c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e636505ab696e7374616e'
    '63655f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d320132c2a66e756d6265'
    '7266aa72656164696e675f6d7381a26d31cb3fd0000000000000aa737461727465645f6d73cd2ee0'
    'a5757361676581a461636d65cd12c0a6776569676874cb400c000000000000ab646174615f63656e'
    '747265a27a31a46b696e64ae676174657761792d646967657374a673656e646572ad31302e302e30'
    '2e313a37303031'
)
BUNDLE_WITHOUT_AGES = (
    '84a4626f647983a764696765737473928ca761646472657373ad31302e302e302e313a37303031ae'
    '636f6e6669675f76657273696f6e07ab646174615f63656e747265a27a32a764656d616e64739297'
    '93a26c6da26d31a261320b0201cd01c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e'
    '636505ab696e7374616e63655f6964a3672d31a56c6f6164739294a3722d3103cd0190c394a3722d'
    '320132c2a66e756d62657266aa72656164696e675f6d7381a26d31cb3fd0000000000000aa737461'
    '727465645f6d73cd2ee0a5757361676581a461636d65cd12c0a6776569676874cb400c0000000000'
    '008ca761646472657373ad31302e302e302e323a37303031ae636f6e6669675f76657273696f6e07'
    'ab646174615f63656e747265a27a32a764656d616e6473929793a26c6da26d31a261320b0201cd01'
    'c2cd0384039793a26c6da26d32a0040100ccfa5003a566656e636505ab696e7374616e63655f6964'
    'a3672d32a56c6f6164739294a3722d3103cd0190c394a3722d320132c2a66e756d62657267aa7265'
    '6164696e675f6d7381a26d31cb3fd0000000000000aa737461727465645f6d73cd2ee0a575736167'
    '6581a461636d65cd12c0a6776569676874cb4012000000000000aa64697370617463686572ad3130'
    '2e302e302e323a37303031a8676174657761797309ab646174615f63656e747265a27a31a46b696e'
    '64ad6469676573742d62756e646c65a673656e646572ad31302e302e302e313a37303031'
)
#: Updates of the release that sent all rows, whatever their size.
UPDATES_WITHOUT_OMISSIONS = (
    '84a4626f647984a861736b65645f6d73cda028a973746f72655f65726103a873746f72655f6d73ce'
    '00011f1ca5776f726473919aa7736572766572735a660f9295a3722d31c4107b2253657276696365'
    '223a226c6d227d65c20395a3722d32c4107b2253657276696365223a226c6d227d66c303ce00011d'
    '2802035f02ab646174615f63656e747265a27a31a46b696e64ab7461626c652d776f726473a67365'
    '6e646572ad31302e302e302e313a37303031'
)


def named(value: Any) -> Any:
    """Return *value* as JSON with encoded field names, also where only the order is sent."""
    if isinstance(value, msgspec.Struct):
        names = zip(value.__struct_encode_fields__, value.__struct_fields__, strict=True)
        return {encoded: named(getattr(value, name)) for encoded, name in names}
    if attrs.has(type(value)):
        return {name: named(getattr(value, name)) for name in attrs.fields_dict(type(value))}
    if isinstance(value, list):
        return [named(item) for item in value]
    if isinstance(value, dict):
        return {key: named(item) for key, item in value.items()}
    return value.decode() if isinstance(value, bytes) else value


def test_kinds_are_those_recorded() -> None:
    assert set(message_classes) == {record['kind'] for record in RECORDED}


@pytest.mark.parametrize('record', RECORDED, ids=lambda record: record['kind'])
def test_recorded_frame_is_read_and_written_the_same(record: dict[str, Any]) -> None:
    frame = bytes.fromhex(record['hex'])
    envelope = decode(frame)
    assert type(envelope.message) is message_classes[record['kind']]
    assert envelope == Envelope(*SENDER, envelope.message)
    assert named(envelope.message) == record['message']
    assert encode(envelope) == frame


@pytest.mark.parametrize('record', RECORDED, ids=lambda record: record['kind'])
def test_recorded_message_names_every_field_with_a_value(record: dict[str, Any]) -> None:
    """A recording that leaves a field at its default would not hold that field."""
    message = decode(bytes.fromhex(record['hex'])).message
    for field in attrs.fields(type(message)):
        value = getattr(message, field.name)
        assert value != field.default
        assert value not in ([], {}, '', None)


def test_states_of_a_leader_that_does_not_say_whether_it_may_order() -> None:
    message = decode(bytes.fromhex(OLD_STATES)).message
    assert message.fence == 5
    assert message.may_order


def test_states_of_a_leader_that_does_not_say_when_a_replica_started() -> None:
    message = decode(bytes.fromhex(STATES_WITHOUT_STARTS)).message
    assert [state.born_ms for state in message.states] == [None]


def test_notices_of_a_gateway_that_does_not_read_how_many_rejections_a_replica_bears() -> None:
    message = decode(bytes.fromhex(NOTICES_WITHOUT_REJECTIONS)).message
    assert {entry.rejections_per_s for entry in message.notices} == {None}
    assert {entry.rejections_known_ms_ago for entry in message.notices} == {None}


def test_suspects_of_a_gateway_that_does_not_tell_of_trials() -> None:
    message = decode(bytes.fromhex(SUSPECTS_WITHOUT_TRIALS)).message
    assert len(message.ends) == 1
    assert message.trials == []


def test_updates_of_a_gateway_that_does_not_say_from_where_on_it_knows_all_deletions() -> None:
    message = decode(bytes.fromhex(UPDATES_WITHOUT_SEEN_FROM)).message
    (update,) = message.words
    assert (update.seen_from, update.seen_from_era) == (NO_VERSION, NO_ERA)
    assert (update.after, update.upto, len(update.rows)) == (90, 102, 2)


def test_updates_of_a_gateway_that_sends_all_rows_whatever_their_size() -> None:
    message = decode(bytes.fromhex(UPDATES_WITHOUT_OMISSIONS)).message
    (update,) = message.words
    assert not update.omits_rows
    assert update.rows


def test_verdict_of_a_dispatcher_that_gives_no_turns() -> None:
    message = decode(bytes.fromhex(OLD_VERDICT)).message
    assert (message.replica_id, message.has_turn) == ('r-1', False)


def test_digest_of_a_gateway_that_does_not_say_how_fast_prompts_are_read() -> None:
    message = decode(bytes.fromhex(OLD_DIGEST)).message
    assert (message.fence, message.reading_ms) == (5, {})
    assert [demand.refused for demand in message.demands] == [0, 0]


def test_bundle_and_summary_of_relays_that_do_not_say_who_dispatches() -> None:
    bundle = decode(bytes.fromhex(OLD_BUNDLE)).message
    assert (len(bundle.digests), bundle.dispatcher) == (2, '')
    summary = decode(bytes.fromhex(OLD_SUMMARY)).message
    assert (summary.gateways, summary.dispatchers) == (12, {})


def test_query_and_updates_of_a_gateway_that_does_not_tell_the_time_of_the_store() -> None:
    query = decode(bytes.fromhex(OLD_ROWS_QUERY)).message
    assert (query.versions, query.asked_ms) == ({'op': 7, 'servers': 102}, 0)
    updates = decode(bytes.fromhex(OLD_UPDATES)).message
    assert (updates.asked_ms, updates.store_ms) == (0, 0)
    assert [update.confirmed_ms for update in updates.words] == [0]


def test_digest_of_a_gateway_that_does_not_say_what_it_uses() -> None:
    digest = decode(bytes.fromhex(DIGEST_WITHOUT_USAGE)).message
    assert (digest.usage, digest.started_ms) == ({}, 0)
    bundle = decode(bytes.fromhex(BUNDLE_WITHOUT_USAGE)).message
    assert [digest.usage for digest in bundle.digests] == [{}] * len(bundle.digests)


def test_query_and_updates_of_a_gateway_that_knows_no_eras_of_the_store() -> None:
    """They count as of a store that states none."""
    query = decode(bytes.fromhex(ROWS_QUERY_WITHOUT_ERAS)).message
    assert requested_position(query, 'servers') == make_position(102)
    assert requested_position(query, 'members') is None
    updates = decode(bytes.fromhex(UPDATES_WITHOUT_ERAS)).message
    assert updates.store_era == NO_ERA
    (update,) = updates.words
    assert position_from_message(update.after_era, update.after) == make_position(90)
    assert position_from_message(update.upto_era, update.upto) == make_position(102)
    assert [row.position for row in rows_from_update(update)] == [
        make_position(101),
        make_position(102),
    ]


def test_digest_of_a_gateway_that_does_not_tell_since_when_calls_wait() -> None:
    digest = decode(bytes.fromhex(DIGEST_WITHOUT_AGES)).message
    bundle = decode(bytes.fromhex(BUNDLE_WITHOUT_AGES)).message
    demands = [demand for one in [digest, *bundle.digests] for demand in one.demands]
    assert [(one.served_ago_ms, one.unserved_ms) for one in demands] == [(None, None)] * 6
