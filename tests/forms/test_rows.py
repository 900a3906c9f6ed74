"""The rows in the store and in our own table keep their keys, fields and meaning.

Rows written by one release are read by the next, by the platform and by operators. When a test
here turns red, a rename or a move changed a row: give the field its encoded name back (or the
key its spelling, the default its value). Where only the *product's* class or field that a row is
read into got another name, follow it here; the JSON stays.
"""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

import attrs
import msgspec
import pytest

from limeshelf.calls.call import CallKind
from limeshelf.calls.routes import (
    ClientLimits,
    EngineSpec,
    ModelSpec,
    Route,
    ServiceSpec,
    ServingConfig,
    WeightedService,
)
from limeshelf.errors import InvalidDocument
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.lease.leadership import Leadership
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.registration import Registration
from limeshelf.platform.configuration import CONFIG_KEY, CONFIG_TABLE, read_config
from limeshelf.platform.replicas import REPLICA_TABLE, read_record
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.standalone.claims.keeper import Claimed, ClaimedBefore, ClaimKeeper, KeptAnswer
from limeshelf.standalone.config.delta import Change
from limeshelf.standalone.config.document import (
    Adapter,
    Binding,
    Deployment,
    Document,
    NumberParameter,
    PlainRoute,
    Policy,
    PolicyKind,
    PriorityClass,
    Split,
)
from limeshelf.standalone.lease.keeper import LeaderLease
from limeshelf.standalone.placement.anchors import AnchorDirectory
from limeshelf.standalone.placement.intents import IntentLog
from limeshelf.standalone.revisions.store import Applied, Head, RevisionStore
from limeshelf.standalone.services.http import Reply
from limeshelf.standalone.services.objects import ObjectStoreClient
from limeshelf.standalone.services.table import (
    Committed,
    Condition,
    Conflicted,
    TableClient,
    Write,
)
from limeshelf.standalone.services.table import VersionedRow as TableRow
from limeshelf.standalone.upstreams.messages import Order, OrderAction
from limeshelf.util.clock import VIRTUAL_EPOCH_S, virtual_clock
from tests.support.positions import make_position
from tests.support.table import FakeTable

# The platform's store: op/config.

FULL_CONFIG = b"""{"Version": 7,
 "Routes": [
  {"Name": "chat", "Host": "calls.example", "PathPrefix": "/chat/", "RouteKind": "streaming",
   "TimeoutMs": 30500, "LatencySloMs": 450, "Priority": 2, "MaxAttempts": 3, "Resumable": true,
   "ItlSloMs": 125, "Split": [{"Service": "lm", "Weight": 0.75}, {"Service": "app", "Weight": 2}]},
  {"Name": "pay", "Host": "pay.example", "PathPrefix": "/", "RouteKind": "unsafe",
   "TimeoutMs": 2500, "Service": "app"},
  {"Name": "get", "Host": "pay.example", "PathPrefix": "/get", "RouteKind": "safe",
   "TimeoutMs": "1500", "Service": "app", "MaxAttempts": 0},
  {"Name": "odd", "Host": "odd.example", "PathPrefix": "/", "RouteKind": "unheard-of",
   "TimeoutMs": 100, "Service": "app"}],
 "Services": [
  {"Name": "lm", "MaxConns": 60, "Engine": {"Slots": 8, "KvCapacity": 9000, "WeightsMb": 150.5,
   "MaxAdapters": 3, "LoadsPerS": 2.5, "Stride": 4, "Models": [
    {"Name": "m1", "WeightsMb": 70.5, "LoadTimeS": 1.5, "Adapters": 2, "AdapterSizeMb": 0.5,
     "WarmS": 0.25},
    {"Name": "m2", "WeightsMb": 30, "LoadTimeS": 3}]}},
  {"Name": "tiny", "Engine": {"Slots": 1, "Stride": 0}},
  {"Name": "app"}],
 "Limits": {"MaxHeaderBytes": 4096, "MaxBodyBytes": 10000, "HeaderTimeoutMs": 2500,
  "IdleTimeoutMs": 12500},
 "Unheard": {"Of": true}}"""

FULL_SERVING = ServingConfig(
    version=7,
    routes=(
        Route(
            name='chat',
            host='calls.example',
            path_prefix='/chat/',
            kind=CallKind.STREAM,
            targets=(WeightedService('lm', 0.75), WeightedService('app', 2.0)),
            timeout_s=30.5,
            objective_s=0.45,
            max_attempts=3,
            priority=2,
            resumable=True,
            pause_s=0.125,
        ),
        Route(
            name='pay',
            host='pay.example',
            path_prefix='/',
            kind=CallKind.UNSAFE,
            targets=(WeightedService('app', 1.0),),
            timeout_s=2.5,
            objective_s=1.0,
            max_attempts=1,
            priority=5,
            resumable=False,
            pause_s=0.3,
        ),
        Route(
            name='get',
            host='pay.example',
            path_prefix='/get',
            kind=CallKind.SAFE,
            targets=(WeightedService('app', 1.0),),
            timeout_s=1.5,
            objective_s=1.0,
            max_attempts=1,
            priority=5,
            resumable=False,
            pause_s=0.3,
        ),
        Route(
            name='odd',
            host='odd.example',
            path_prefix='/',
            kind=CallKind.UNSAFE,
            targets=(WeightedService('app', 1.0),),
            timeout_s=0.1,
            objective_s=1.0,
            max_attempts=1,
            priority=5,
            resumable=False,
            pause_s=0.3,
        ),
    ),
    services={
        'lm': ServiceSpec(
            name='lm',
            max_connections=60,
            engine=EngineSpec(
                slots=8,
                memory_tokens=9000,
                capacity_mb=150.5,
                adapter_places=3,
                loads_per_s=2.5,
                models={
                    'm1': ModelSpec(
                        name='m1',
                        size_mb=70.5,
                        load_s=1.5,
                        warm_load_s=0.25,
                        adapters=frozenset({'a1', 'a2'}),
                        adapter_mb=0.5,
                    ),
                    'm2': ModelSpec(
                        name='m2',
                        size_mb=30.0,
                        load_s=3.0,
                        warm_load_s=3.0,
                        adapters=frozenset(),
                        adapter_mb=0.0,
                    ),
                },
                event_tokens=4,
            ),
        ),
        'tiny': ServiceSpec(
            name='tiny',
            max_connections=100,
            engine=EngineSpec(
                slots=1,
                memory_tokens=0,
                capacity_mb=0.0,
                adapter_places=0,
                loads_per_s=1.0,
                models={},
                event_tokens=1,
            ),
        ),
        'app': ServiceSpec(name='app', max_connections=100, engine=None),
    },
    limits=ClientLimits(
        header_bytes=4096, body_bytes=10000, header_timeout_s=2.5, idle_timeout_s=12.5
    ),
)

BARE_CONFIG = b'{"Version": 1, "Routes": [], "Services": []}'
BARE_SERVING = ServingConfig(
    version=1,
    routes=(),
    services={},
    limits=ClientLimits(
        header_bytes=16384, body_bytes=4194304, header_timeout_s=3.0, idle_timeout_s=15.0
    ),
)


def test_configuration_row_is_op_config() -> None:
    assert (CONFIG_TABLE, CONFIG_KEY) == ('op', 'config')


@pytest.mark.parametrize(
    ('value', 'serving'),
    [(FULL_CONFIG, FULL_SERVING), (BARE_CONFIG, BARE_SERVING)],
    ids=['full', 'bare'],
)
def test_configuration_as_read(value: bytes, serving: ServingConfig) -> None:
    assert read_config(value) == serving


@pytest.mark.parametrize('missing', ['Version', 'Routes', 'Services'])
def test_configuration_without_a_needed_field_is_refused(missing: str) -> None:
    document = msgspec.json.decode(BARE_CONFIG)
    del document[missing]
    with pytest.raises(InvalidDocument):
        read_config(msgspec.json.encode(document))


# The platform's store: servers/ID.

RECORDS = [
    (
        b'{"Service": "lm", "Address": "10.0.0.3:9000", "Zone": "z2", "Slots": 8,'
        b' "State": "draining", "RemainingMs": 2500, "SeqNo": 12, "Models": ['
        b'{"Name": "m1", "Version": 4, "Adapters": ["a1@3", {"Name": "a2@1", "Version": 1}]},'
        b' {"Name": "m2"}], "Unheard": 1}',
        ReplicaRecord(
            replica_id='r-1',
            service='lm',
            address='10.0.0.3:9000',
            data_centre='z2',
            slots=8,
            leaving=True,
            leaves_in_s=2.5,
            holdings=(Holding('m1', frozenset({'a1', 'a2'})), Holding('m2')),
            heartbeat_number=12,
        ),
    ),
    (
        b'{"Service": "app", "Address": "10.0.0.4:9000", "Zone": "", "Slots": 1,'
        b' "State": "ready", "SeqNo": 0}',
        ReplicaRecord(
            replica_id='r-1',
            service='app',
            address='10.0.0.4:9000',
            data_centre='',
            slots=1,
            leaving=False,
            leaves_in_s=None,
            holdings=(),
            heartbeat_number=0,
        ),
    ),
]


@pytest.mark.parametrize(('value', 'record'), RECORDS, ids=['full', 'bare'])
def test_replica_row_as_read(value: bytes, record: ReplicaRecord) -> None:
    assert REPLICA_TABLE == 'servers'
    assert read_record('r-1', value) == record


# The platform's store: members/NAME and lease/placement.


@attrs.define
class RecordingStore:
    """Keeps what is written; its clock stands still."""

    rows: tuple[Row, ...] = ()
    written: list[tuple[str, str, bytes, Position | None]] = attrs.field(factory=list)

    async def read(self, table: str) -> Page:
        assert table == 'lease'
        return Page(self.rows, make_position(40), 50_000)

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        self.written.append((table, key, value, expected))
        self.rows = (Row(key, value, make_position(41)),)
        return make_position(41)


def registration(own: Member) -> Registration:
    """Return what writes and reads rows of members; all else is absent."""
    absent: Any = None
    return Registration('g-1', absent, Members(own), absent)


MEMBER = b'{"address":"10.0.0.1:7001","data_centre":"z1","weight":2.5}'


MEMBER_THAT_CARRIES = MEMBER[:-1] + b',"forward_port":7016}'


def test_member_row_of_a_gateway_that_carries_calls_as_written() -> None:
    store = RecordingStore()
    own = Member('10.0.0.1:7001', 'z1', 2.5, forward_port=7016)
    asyncio.run(registration(own).write_row(store))
    assert store.written == [('members', 'g-1', MEMBER_THAT_CARRIES, None)]


def test_member_row_as_written() -> None:
    store = RecordingStore()
    asyncio.run(registration(Member('10.0.0.1:7001', 'z1', 2.5)).write_row(store))
    assert store.written == [('members', 'g-1', MEMBER, None)]


@pytest.mark.parametrize(
    ('value', 'member'),
    [
        (MEMBER, Member('10.0.0.1:7001', 'z1', 2.5)),
        (MEMBER_THAT_CARRIES, Member('10.0.0.1:7001', 'z1', 2.5, forward_port=7016)),
        (b'{"address":"10.0.0.1:7001"}', Member('10.0.0.1:7001', '', 0.0)),
    ],
    ids=['full', 'carries', 'bare'],
)
def test_member_row_as_read(value: bytes, member: Member) -> None:
    reader = registration(Member('10.0.0.9:7001', 'z1', 1.0))
    reader.apply_row(Row('g-1', value, make_position(41)))
    assert reader.members.others() == [member]


def lease_row(holder: str, until_ms: int) -> Row:
    value = f'{{"holder":"{holder}","fence":8,"until_ms":{until_ms}}}'
    return Row('placement', value.encode(), make_position(39))


def test_lease_row_as_written() -> None:
    async def play() -> None:
        store = RecordingStore()
        lease = Leadership(store, 'g-1', 2.5)
        await lease.renew_or_acquire()
        await lease.release()
        assert store.written == [
            ('lease', 'placement', b'{"holder":"g-1","fence":1,"until_ms":52500}', BEGINNING),
            ('lease', 'placement', b'{"holder":"g-1","fence":1,"until_ms":0}', make_position(41)),
        ]

    with virtual_clock():
        asyncio.run(play())


@pytest.mark.parametrize(
    ('row', 'fence'),
    [
        (lease_row('g-2', 50_001), 0),
        (lease_row('g-2', 50_000), 9),
        (lease_row('g-1', 50_001), 9),
        (attrs.evolve(lease_row('g-2', 50_001), key='else'), 1),
    ],
    ids=['held', 'ended', 'own', 'another row'],
)
def test_lease_row_as_read(row: Row, fence: int) -> None:
    lease = Leadership(RecordingStore((row,)), 'g-1', 2.5)
    with virtual_clock():
        asyncio.run(lease.renew_or_acquire())
    assert lease.fence == fence


# Our own table: its calls.


@attrs.define
class RecordingService:
    """Stands for the HTTP client of a service: keeps calls, gives recorded answers."""

    answers: list[tuple[int, bytes]]
    calls: list[tuple[str, str, bytes | None]] = attrs.field(factory=list)

    async def call(self, method: str, path: str, body: Any = None) -> Reply:
        encoded = None if body is None else msgspec.json.encode(body)
        self.calls.append((method, path, encoded))
        return Reply(*self.answers.pop(0))


ROW_JSON = b'{"key":"a/b c","version":3,"value":{"n":1}}'
ABSENT_JSON = b'{"key":"a/d","version":0,"value":null}'
ROW = TableRow('a/b c', 3, {'n': 1})
ABSENT = TableRow('a/d', 0, None)


def test_calls_of_the_table() -> None:
    service = RecordingService(
        [
            (200, ROW_JSON),
            (200, b'[' + ROW_JSON + b',' + ABSENT_JSON + b']'),
            (200, b'{"versions":{"a/b c":4}}'),
            (409, b'{"rows":[' + ABSENT_JSON + b']}'),
        ]
    )
    conditions = [Condition('a/b c', 3)]
    writes = [Write('a/b c', {'n': 2}), Write('a/d', None)]

    async def play() -> list[Any]:
        table = TableClient(service)
        return [
            await table.read('a/b c'),
            await table.scan('a/&'),
            await table.transact(conditions, writes),
            await table.transact([], []),
        ]

    assert asyncio.run(play()) == [
        ROW,
        [ROW, ABSENT],
        Committed({'a/b c': 4}),
        Conflicted([ABSENT]),
    ]
    assert [call[:2] for call in service.calls] == [
        ('GET', '/rows/a%2Fb%20c'),
        ('GET', '/rows?prefix=a%2F%26'),
        ('POST', '/transact'),
        ('POST', '/transact'),
    ]
    assert msgspec.json.decode(service.calls[2][2]) == {
        'conditions': [{'key': 'a/b c', 'version': 3}],
        'writes': [{'key': 'a/b c', 'value': {'n': 2}}, {'key': 'a/d', 'value': None}],
    }


def test_calls_of_the_object_store() -> None:
    service = RecordingService([(200, b''), (200, b'{"n":1}'), (404, b'')])

    async def play() -> list[Any]:
        objects = ObjectStoreClient(service)
        await objects.put('a/b', {'n': 1})
        return [await objects.get('a/b'), await objects.get('c')]

    assert asyncio.run(play()) == [{'n': 1}, None]
    assert service.calls == [
        ('PUT', '/objects/a%2Fb', b'{"n":1}'),
        ('GET', '/objects/a%2Fb', None),
        ('GET', '/objects/c', None),
    ]


# Our own table: its rows.


def table_of(rows: dict[str, dict[str, Any]]) -> FakeTable:
    """Return a table that holds *rows*, each at version 1."""
    table = FakeTable()
    table.commit([], [Write(key, value) for key, value in rows.items()])
    return table


def test_placer_lease_rows_as_written_and_read() -> None:
    async def play() -> None:
        table = table_of(
            {
                'lease/placer/z1': {'holder': '', 'epoch': 6},
                'epoch/placer/z1': {'holder': 'p-0', 'epoch': 6},
            }
        )
        lease = LeaderLease(table, 'z1', 'p-1', 2.0)
        held = {'holder': 'p-1', 'epoch': 7}
        await lease.step()
        assert table.values == {'lease/placer/z1': held, 'epoch/placer/z1': held}
        assert lease.epoch == 7
        other = LeaderLease(table, 'z1', 'p-2', 2.0)
        await other.step()
        assert other.epoch is None
        await lease.release()
        assert table.values['lease/placer/z1'] == {'holder': '', 'epoch': 7}

    with virtual_clock():
        asyncio.run(play())


def test_claim_rows_as_written_and_read() -> None:
    async def play() -> None:
        table = FakeTable()
        keeper = ClaimKeeper(table)
        claim = await keeper.claim('scope', 'key', 'print')
        assert isinstance(claim, Claimed)
        digests = [hashlib.sha256(text).hexdigest()[:32] for text in (b'scope', b'key')]
        assert claim.key == 'claim/' + '/'.join(digests)
        row = {
            'claim_id': claim.claim_id,
            'fingerprint': 'print',
            'claimed_unix_s': VIRTUAL_EPOCH_S + 1000.0,
            'answer': None,
        }
        assert table.values == {claim.key: row}
        assert await keeper.claim('scope', 'key', 'print') == ClaimedBefore(None)
        answer = {'status': 201, 'content_type': 'text/plain', 'body': 'done'}
        assert await keeper.keep_answer(claim, KeptAnswer(**answer), 'print')
        assert table.values == {claim.key: {**row, 'answer': answer}}
        repeat = await ClaimKeeper(table).claim('scope', 'key', 'print')
        assert repeat == ClaimedBefore(KeptAnswer(201, 'text/plain', 'done'))

    with virtual_clock():
        asyncio.run(play())


def test_anchor_rows_as_written_and_read() -> None:
    async def play() -> None:
        table = table_of(
            {
                'anchor/old': {'upstream_id': 'u-9', 'data_centre': 'z2', 'handoff': True},
                'anchor-change/z2': {'changed': True},
            }
        )
        book = AnchorDirectory(table, LeaderLease(table, 'z1', 'p-1', 2.0), 'z1')
        assert await book.refresh()
        anchor = book.get('old')
        assert anchor is not None
        assert (anchor.upstream_id, anchor.data_centre, anchor.row_version, anchor.handoff) == (
            'u-9',
            'z2',
            1,
            True,
        )
        assert await book.put('chat', 'u-1', handoff=True)
        assert await book.drop('old')
        assert table.values == {
            'anchor/chat': {'upstream_id': 'u-1', 'data_centre': 'z1', 'handoff': True},
            'anchor-change/z1': {'changed': True},
            'anchor-change/z2': {'changed': True},
        }

    asyncio.run(play())


def test_intent_rows_as_written_and_read() -> None:
    order = Order(7, 3, 'boot-1', OrderAction.UNLOAD, 'chat@2+fr', 'chat@2', 500, 1e12)
    plain = {
        'epoch': 7,
        'number': 3,
        'boot_id': 'boot-1',
        'action': 'unload',
        'item_id': 'chat@2+fr',
        'base_id': 'chat@2',
        'total_bytes': 500,
        'expires_unix_s': 1e12,
    }

    async def play() -> None:
        table = FakeTable()
        lease = LeaderLease(table, 'z1', 'p-1', 2.0)
        assert await IntentLog(table, lease, 'u-1').add(order, 60.0)
        assert table.values == {'intent/u-1': {'orders': [plain]}}
        assert await IntentLog(table, lease, 'u-1').read() == [order]

    asyncio.run(play())
    assert [action.value for action in OrderAction] == ['load', 'unload', 'fence']


# The operator's configuration in our own table: head, revisions (who changed what), operations,
# snapshots.


@attrs.define
class Objects:
    """An object store in memory."""

    kept: dict[str, Any] = attrs.field(factory=dict)

    async def put(self, key: str, value: Any) -> None:
        self.kept[key] = value

    async def get(self, key: str) -> Any | None:
        return self.kept.get(key)


REVISION = {
    'revision': 5,
    'operation_id': 'op-5',
    'operator': 'someone',
    'committed_unix_s': VIRTUAL_EPOCH_S + 1000.0,
    'note': 'why',
    'changes': [
        {'section': 'routes', 'name': 'old', 'entity': None},
        {'section': 'drained_upstreams', 'name': 'u-1', 'entity': {}},
    ],
}


def test_revision_rows_as_written_and_read() -> None:
    async def play() -> None:
        table = table_of({'config/head': {'revision': 4, 'snapshot_revision': 3}})
        store = RevisionStore(table, Objects())
        assert await store.head() == Head(4, 3, 1)
        changes = [Change('routes', 'old'), Change('drained_upstreams', 'u-1', {})]
        assert await store.commit(changes, 4, 'op-5', 'someone', 'why') == Applied(5)
        assert table.values == {
            'config/head': {'revision': 5, 'snapshot_revision': 3},
            'config/revision/0000000005': REVISION,
            'config/operation/op-5': {'revision': 5},
        }
        record = await store.record(5)
        assert record is not None
        assert msgspec.to_builtins(record) == REVISION
        assert record.changes == changes

    with virtual_clock():
        asyncio.run(play())


DOCUMENT = Document(
    deployments=[
        Deployment(
            name='chat',
            version='2',
            weights_bytes=7000,
            kv_reserve_bytes=300,
            adapters=[Adapter('fr', 50)],
            priority_class=PriorityClass.HIGH,
            first_token_target_s=0.5,
            next_token_target_s=0.02,
            min_replicas=2,
            repeatable=False,
            policies={PolicyKind.ROUTING: 'least'},
        )
    ],
    policies=[Policy('least', PolicyKind.ROUTING, 'least-work', [NumberParameter('slack', 1.5)])],
    routes=[PlainRoute('find', '/find', 'search', True, 12.5, PriorityClass.LOW)],
    splits=[Split('try', PolicyKind.ADMISSION, 'one', 'two', 0.25)],
    bindings=[Binding(PolicyKind.PLACEMENT, 'greedy')],
    drained_upstreams=['u-1'],
)
DOCUMENT_JSON = {
    'deployments': [
        {
            'name': 'chat',
            'version': '2',
            'weights_bytes': 7000,
            'kv_reserve_bytes': 300,
            'adapters': [{'name': 'fr', 'weights_bytes': 50}],
            'priority_class': 'high',
            'first_token_target_s': 0.5,
            'next_token_target_s': 0.02,
            'min_replicas': 2,
            'repeatable': False,
            'policies': {'routing': 'least'},
        }
    ],
    'policies': [
        {
            'name': 'least',
            'kind': 'routing',
            'implementation': 'least-work',
            'parameters': [{'name': 'slack', 'value': 1.5}],
        }
    ],
    'routes': [
        {
            'name': 'find',
            'path_prefix': '/find',
            'service': 'search',
            'repeatable': True,
            'timeout_s': 12.5,
            'priority_class': 'low',
        }
    ],
    'splits': [
        {
            'name': 'try',
            'kind': 'admission',
            'policy_a': 'one',
            'policy_b': 'two',
            'share_b_ratio': 0.25,
        }
    ],
    'bindings': [{'name': 'placement', 'policy': 'greedy'}],
    'drained_upstreams': ['u-1'],
}


def test_snapshot_as_written_and_read() -> None:
    async def play() -> None:
        table = table_of({'config/head': {'revision': 21, 'snapshot_revision': 0}})
        objects = Objects()
        store = RevisionStore(table, objects)
        await store.store_snapshot(20, DOCUMENT)
        assert objects.kept == {'config-snapshot-20': DOCUMENT_JSON}
        assert table.values == {'config/head': {'revision': 21, 'snapshot_revision': 20}}
        assert await store.snapshot(20) == DOCUMENT

    asyncio.run(play())
