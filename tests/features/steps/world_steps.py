"""Step definitions of all features."""

from __future__ import annotations

import os
import signal
import threading
import time

from behave import given, then, when

from standins.calls import get, post, wait_until
from tests.support.history import count_runs_by_key, find_history_violations, recorded_overcommits
from tests.support.load import LoadGenerator

MODEL_NAMES = [f'm{number}' for number in range(6)]


def stream_many(context, number: int) -> None:
    load = LoadGenerator(context.world.system, MODEL_NAMES, rate_per_s=200.0, booking_ratio=0.0)
    with load:
        wait_until(lambda: load._numbers >= number, 30)
    context.load = load


def change_versions(world, models: list[str]) -> None:
    for deployment in world.document['deployments']:
        if deployment['name'] in models:
            deployment['version'] = str(int(deployment['version']) + 1)
    code, reply = world.apply()
    assert code == 0, reply


@given('calls are sent continuously')
def start_calls(context) -> None:
    context.load = LoadGenerator(context.world.system, MODEL_NAMES)
    context.load.__enter__()
    context.add_cleanup(context.load.stop)
    wait_until(lambda: len(context.load.history) > 20)


@when('{number:d} callers stream responses concurrently')
def stream_step(context, number: int) -> None:
    stream_many(context, number)


@when('a caller requests a completion')
def one_stream(context) -> None:
    world = context.world
    body = {'model': 'm0', 'messages': [{'role': 'user', 'content': 'a'}], 'max_tokens': 2}
    reply = post(f'{world.system.instances["x-1"].url}/v1/chat/completions', body)
    context.request_id = reply['id']


@then('its routing decision can be explained from another data centre')
def decision_is_explained(context) -> None:
    code, reply = context.world.cli('explain', context.request_id, instance='y-0')
    assert code == 0
    assert 'decision=route' in reply['lines'][0]


@then('every response is complete and belongs to its call')
def all_complete(context) -> None:
    history = context.load.history
    assert history
    assert all(call.outcome == 'completed' and call.whole for call in history), (
        context.load.outcomes()
    )


@then('no call was refused')
def none_refused(context) -> None:
    assert set(context.load.outcomes()) == {'stream completed'}


@when('a booking is sent to "{first}" and again to "{second}" with the same key')
def book_twice(context, first: str, second: str) -> None:
    import asyncio

    import aiohttp

    async def book(instance: str) -> str:
        url = context.world.system.instances[instance].url
        headers = {'Idempotency-Key': 'twice'}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f'{url}/booking/slots', data='twice', headers=headers) as answer,
        ):
            assert answer.status == 200
            return await answer.text()

    context.answers = [asyncio.run(book(first)), asyncio.run(book(second))]


@then('both get the same response and the booking ran once')
def same_answer(context) -> None:
    assert context.answers[0] == context.answers[1]
    assert count_runs_by_key(context.world.system)['twice'] == 1


@when('the routing policy is swapped to "{policy}" while {number:d} callers stream')
def swap_policy_under_load(context, policy: str, number: int) -> None:
    load = LoadGenerator(context.world.system, MODEL_NAMES, rate_per_s=200.0, booking_ratio=0.0)
    with load:
        wait_until(lambda: load._numbers >= 5)
        code, reply = context.world.cli('policy', 'swap', 'routing', policy)
        assert code == 0, reply
        wait_until(lambda: load._numbers >= number)
    context.load = load


@when('the routing traffic is split between "{one}" and "{two}"')
def split_traffic(context, one: str, two: str) -> None:
    code, reply = context.world.cli('policy', 'split', 'routing', one, two)
    assert code == 0, reply
    wait_until(lambda: len(set(context.world.revisions().values())) == 1)


@then('the comparison shows requests of both policies with confidence intervals')
def comparison_has_intervals(context) -> None:
    code, reply = context.world.cli('policy', 'compare', 'routing', 'turns', 'least')
    assert code == 0
    assert reply['answered'] == reply['listed'] == '4'
    assert {row['policy'] for row in reply['figures']} == {'turns', 'least'}
    assert reply['differences']
    assert all(row['first_token_s_half_width'] > 0 for row in reply['differences'])


@then('the status shows every process as reached')
def status_shows(context) -> None:
    def reached() -> bool:
        rows = context.world.cli('status', instance='y-1')[1]['processes']
        return len(rows) == 12 and all(row['reached'] for row in rows)

    wait_until(reached)


@then('no process has an io_uring descriptor')
def no_io_uring(context) -> None:
    for instance in context.world.system.instances.values():
        for started in instance.programs.values():
            folder = f'/proc/{started.process.pid}/fd'
            links = [os.readlink(f'{folder}/{name}') for name in os.listdir(folder)]
            assert links
            assert not [link for link in links if 'io_uring' in link]


def leader_of(world, centre: str) -> str:
    """Return the instance whose placer holds the lease in the table."""
    row = get(f'{world.system.platform.http}/rows/lease%2Fplacer%2F{centre}')
    holder = row['value']['holder']
    for name, instance in world.system.instances.items():
        if instance.data_centre == centre:
            log = instance.programs['placer'].log()
            if f'epoch={row["value"]["epoch"]}' in log and 'state=held' in log:
                return name
    raise AssertionError(holder)


@when('the leading placer of "{centre}" is suspended, models change versions, and it resumes')
def suspend_leader(context, centre: str) -> None:
    world = context.world
    leader = world.system.instances[leader_of(world, centre)].programs['placer']
    key = f'{world.system.platform.http}/rows/lease%2Fplacer%2F{centre}'
    before = get(key)['value']['epoch']
    change_versions(world, MODEL_NAMES[:3])
    time.sleep(0.3)
    leader.signal(signal.SIGSTOP)
    change_versions(world, MODEL_NAMES[3:])
    wait_until(lambda: get(key)['value']['epoch'] > before, 20)
    time.sleep(1.0)
    leader.signal(signal.SIGCONT)
    change_versions(world, MODEL_NAMES)
    time.sleep(2.0)


@when('orders to every engine are lost, delayed and duplicated while models change versions')
def fault_orders(context) -> None:
    world = context.world
    engines = [u for u in world.system.upstreams.values() if u.line['kind'] == 'engine']
    for _ in range(3):
        for engine in engines:
            world.system.set_faults(
                engine.upstream_id, '_order_faults', lost=1, late=1, doubled=2, late_s=1.5
            )
        change_versions(world, MODEL_NAMES)
        time.sleep(2.0)


@then('no engine was ever overcommitted')
def never_overcommitted(context) -> None:
    assert recorded_overcommits(context.world.system) == []


@then('every model is ready again')
def ready_again(context) -> None:
    context.world.await_ready(90.0)


@then('the history has no violation')
def no_fault(context) -> None:
    context.load.stop()
    faults = find_history_violations(context.load.history, count_runs_by_key(context.world.system))
    assert not faults, faults[:5]
    assert len(context.load.history) > 20


@when('engine "{name}" is killed')
def kill_engine(context, name: str) -> None:
    system = context.world.system
    system.upstreams[name].child.kill()
    system.unlist(name)
    del system.upstreams[name]


@when('the platform is unavailable for {seconds:d} seconds')
def platform_down(context, seconds: int) -> None:
    system = context.world.system
    context.before = len(context.load.history)
    system.set_faults('platform', '_faults', down=True)
    time.sleep(seconds)
    system.set_faults('platform', '_faults', down=False)


@then('every stream was completed')
def streams_completed(context) -> None:
    context.load.stop()
    outcomes = context.load.outcomes()
    failed = [c for c in context.load.history if c.kind == 'stream' and c.outcome != 'completed']
    assert not failed, (outcomes, failed[:4])


@when('a configuration is applied that does not fit')
def too_large(context) -> None:
    world = context.world
    sizes = [d['weights_bytes'] for d in world.document['deployments']]
    for deployment in world.document['deployments']:
        deployment['weights_bytes'] *= 100
    context.result = world.apply()
    for deployment, size in zip(world.document['deployments'], sizes, strict=True):
        deployment['weights_bytes'] = size


@then('it is refused with the shortfall in bytes')
def refused_with_shortfall(context) -> None:
    code, reply = context.result
    assert code == 3
    assert 'lack' in reply['problems'][0]['message']
    assert 'bytes' in reply['problems'][0]['message']


@when('a model is applied whose weights are smaller than in the weight store')
def wrong_size(context) -> None:
    world = context.world
    first = world.document['deployments'][0]
    item = f'{first["name"]}@{first["version"]}'
    post(f'{world.system.platform.http}/_weights', {item: first['weights_bytes']})
    first['weights_bytes'] -= 1
    context.result = world.apply()
    first['weights_bytes'] += 1


@then('it is refused with the size in the weight store')
def refused_with_size(context) -> None:
    code, reply = context.result
    size = context.world.document['deployments'][0]['weights_bytes']
    assert code == 3
    assert str(size) in reply['problems'][0]['message'], reply


@when('{_} "{name}" announces that it is leaving')
def announce_leaving(context, _: str, name: str) -> None:
    post(f'{context.world.system.upstreams[name].child.http}/_leave', {})
    context.left = name
    time.sleep(4.0)


@then('it receives no new request later than {seconds:d} seconds after')
def no_new_request(context, seconds: int) -> None:
    record = context.world.system.record(context.left)
    late = [run for run in record['runs'] if run['at_s'] > record['left_at_s'] + seconds]
    assert record['left_at_s'] > 0
    assert not late, late[:3]


@when('engine "{name}" restarts')
def restart(context, name: str) -> None:
    post(f'{context.world.system.upstreams[name].child.http}/_restart', {})
    context.left = name


@then('it serves models again')
def used_again(context) -> None:
    world = context.world
    change_versions(world, MODEL_NAMES)
    world.await_ready(60.0)

    def listed_live() -> bool:
        rows = world.cli('status')[1]['upstreams']
        return any(r['upstream'] == context.left and r['state'] == 'live' for r in rows)

    wait_until(listed_live)


@when('every instance is stopped gracefully and replaced in turn')
def rolling_replacement(context) -> None:
    system = context.world.system
    context.codes = []
    for instance_id, instance in list(system.instances.items()):
        system.list_entry(instance, state='leaving')
        for started in instance.programs.values():
            context.codes.append(started.stop())
        system.unlist(instance_id)
        new_instance = system.launch(instance_id, instance.data_centre)
        system.await_started(new_instance)
        system.list_entry(new_instance)
        wait_until(lambda url=new_instance.url: get(f'{url}/ready')['phase'] == 'serving')


@then('no call was dropped or refused a connection')
def none_dropped(context) -> None:
    context.load.stop()
    outcomes = context.load.outcomes()
    # Of two concurrent calls with the same key, the second is answered with may_have_run while
    # the first has no known result.
    assert set(outcomes) <= {'stream completed', 'book completed', 'book may_have_run'}, outcomes
    completed = {c.key for c in context.load.history if c.outcome == 'completed'}
    assert {c.key for c in context.load.history} <= completed


@then('every exit code was 0')
def codes_zero(context) -> None:
    assert set(context.codes) == {0}, context.codes


def make_change(world, mark: int, instance: str = 'x-0', *words: str) -> tuple[int, dict]:
    world.document['deployments'][0]['first_token_target_s'] = 2.0 + mark
    return world.apply(instance, *words)


def next_change_number(context) -> int:
    context.world.facts['mark'] = context.world.facts.get('mark', 0) + 1
    return context.world.facts['mark']


@when('a change is applied at "{instance}"')
def apply_change(context, instance: str) -> None:
    code, reply = make_change(context.world, next_change_number(context), instance)
    assert code == 0, reply
    context.revision = int(reply['revision'])


@then('it is in force at every instance within {seconds:d} seconds')
def in_force(context, seconds: int) -> None:
    context.took_s = wait_until(
        lambda: set(context.world.revisions().values()) == {context.revision}, seconds
    )


@when('two operators apply different changes to the same revision')
def concurrent_applies(context) -> None:
    world = context.world
    base = str(max(world.revisions().values()))
    results: list = [None, None]
    paths = []
    for number in range(2):
        world.document['deployments'][0]['first_token_target_s'] = 5.0 + number
        path = world.system.folder / f'race{number}.json'
        path.write_text(__import__('json').dumps(world.document))
        paths.append(path)

    def apply(number: int, instance: str) -> None:
        results[number] = world.cli('apply', str(paths[number]), '--base', base, instance=instance)

    threads = [threading.Thread(target=apply, args=(n, i)) for n, i in enumerate(('x-0', 'y-0'))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.results = results


@then('one is applied and the other is rejected with the applied change')
def one_applied(context) -> None:
    codes = sorted(code for code, _ in context.results)
    assert codes == [0, 4], context.results
    loser = next(reply for code, reply in context.results if code == 4)
    assert loser['others'][0]['changes'][0]['name'] == 'm0'


@when('a change is applied at "{instance}" and the platform loses the response')
def lost_answer(context, instance: str) -> None:
    world = context.world
    wait_until(lambda: len(set(world.revisions().values())) == 1)
    world.system.set_faults('platform', '_faults', path_prefix='/transact', lose_answers=1)
    context.first = make_change(
        world, next_change_number(context), instance, '--operation-id', 'op-lost'
    )
    world.system.set_faults('platform', '_faults', path_prefix='/', lose_answers=0)


@then('it was applied once, and a retry reports the same revision')
def applied_once(context) -> None:
    world = context.world
    code, reply = context.first
    assert code == 0, reply
    _, history = world.cli('history')
    same = [r for r in history['revisions'] if r['operation_id'] == 'op-lost']
    assert len(same) == 1
    world.document['deployments'][0]['first_token_target_s'] += 0.5
    code, reply = world.apply('y-0', '--operation-id', 'op-lost')
    assert (code, reply['revision']) == (0, same[0]['revision'])


@when('instance "{name}" is suspended while {number:d} changes are applied')
def suspend_instance(context, name: str, number: int) -> None:
    world = context.world
    programs = world.system.instances[name].programs.values()
    for started in programs:
        started.signal(signal.SIGSTOP)
    for _ in range(number):
        apply_change(context, 'x-0')
    for started in programs:
        started.signal(signal.SIGCONT)


@when('"{centre}" is disconnected from the platform and a change is applied at "{instance}"')
def disconnect_platform(context, centre: str, instance: str) -> None:
    context.world.system.set_faults('platform', '_faults', cut_centres=[centre])
    apply_change(context, instance)


@then('the platform connection is restored')
def reconnect_platform(context) -> None:
    context.world.system.set_faults('platform', '_faults', cut_centres=[])


@when(
    '"{centre}" is disconnected from the platform and the peers and a change is applied at "{at}"'
)
def disconnect_platform_and_peers(context, centre: str, at: str) -> None:
    system = context.world.system
    system.set_partitioned(True)
    system.set_faults('platform', '_faults', cut_centres=[centre])
    context.old = context.world.revisions()[f'{centre}-0']
    apply_change(context, at)
    time.sleep(3.0)


@then('"{centre}" continues to serve at its old revision')
def continues_to_serve(context, centre: str) -> None:
    world = context.world
    assert world.revisions()[f'{centre}-0'] == context.old
    assert world.revisions()['x-1'] == context.revision
    rows = get(f'{world.system.instances[f"{centre}-0"].url}/v1/models')['data']
    ready_models = [row['id'] for row in rows if row['ready'] and not row['base']]
    url = f'{world.system.instances[f"{centre}-0"].url}/v1/chat/completions'
    for model in ready_models:
        body = {'model': model, 'messages': [{'role': 'user', 'content': 'a'}], 'max_tokens': 2}
        assert post(url, body)['choices'][0]['finish_reason'] == 'stop'
    assert ready_models


@then('after reconnection it is in force at every instance within {seconds:d} seconds')
def reconnect(context, seconds: int) -> None:
    system = context.world.system
    system.set_partitioned(False)
    system.set_faults('platform', '_faults', cut_centres=[])
    in_force(context, seconds)


@when('the platform is unavailable and a new instance of "{centre}" starts')
def start_instance_without_platform(context, centre: str) -> None:
    system = context.world.system
    context.revision = max(context.world.revisions().values())
    system.set_faults('platform', '_faults', down=True)
    seed = system.instances[f'{centre}-0'].programs['entry'].address('peer_port')
    context.new_instance = system.launch(f'{centre}-9', centre, seeds=[seed])
    system.await_started(context.new_instance)


@then('it serves at the highest revision of its peers')
def new_instance_serves(context) -> None:
    url = context.new_instance.url
    wait_until(lambda: get(f'{url}/ready')['phase'] == 'serving', 15)
    assert get(f'{url}/ready')['revision'] == context.revision


@then('it completes a request')
def new_instance_completes_request(context) -> None:
    try:
        body = {'model': 'm1', 'messages': [{'role': 'user', 'content': 'a'}], 'max_tokens': 2}
        reply = post(f'{context.new_instance.url}/v1/chat/completions', body)
        assert reply['choices'][0]['finish_reason'] == 'stop'
    finally:
        context.world.system.set_faults('platform', '_faults', down=False)


@when('entry processes are killed and replaced {number:d} times')
def kill_entries(context, number: int) -> None:
    system = context.world.system
    for index in range(number):
        time.sleep(0.7)
        instance = list(system.instances.values())[index % len(system.instances)]
        for started in instance.programs.values():
            started.kill()
        new_instance = system.launch(instance.instance_id, instance.data_centre)
        system.await_started(new_instance)
        system.list_entry(new_instance)


@when('plain services drop connections for a time')
def plain_faults(context) -> None:
    system = context.world.system
    for _ in range(8):
        for name, upstream in system.upstreams.items():
            if upstream.line['kind'] == 'plain':
                system.set_faults(
                    name, '_call_faults', die_before=1, die_after=1, cut=1, busy=1, call_s=0.02
                )
        time.sleep(0.4)


@when('the table service loses responses and becomes unavailable for a time')
def table_faults(context) -> None:
    system = context.world.system
    for _ in range(4):
        system.set_faults('platform', '_faults', path_prefix='/transact', lose_answers=4)
        time.sleep(0.5)
        system.set_faults('platform', '_faults', path_prefix='/', down=True, lose_answers=0)
        time.sleep(0.5)
        system.set_faults('platform', '_faults', down=False)
        time.sleep(0.3)


@when('callers exceed the capacity of the engines many times over')
def overload(context) -> None:
    # About one call in twenty is of the high class; that load alone is within capacity.
    models = ['m0', 'm3'] + ['m1', 'm2', 'm4', 'm5'] * 9
    load = LoadGenerator(
        context.world.system, models, rate_per_s=400.0, booking_ratio=0.0, max_tokens=20
    )
    with load:
        time.sleep(8.0)
    context.load = load


def by_class(load, names: list[str]):
    return [call for call in load.history if call.model in names]


@then('the high class meets its latency target and is refused less than the low class')
def high_class_meets_target(context) -> None:
    high = by_class(context.load, ['m0', 'm3'])
    low = by_class(context.load, ['m2', 'm5'])
    met = [c for c in high if c.outcome == 'completed' and c.first_s <= 1.5]
    assert len(met) / len(high) >= 0.9, (len(met), len(high), context.load.outcomes())
    refused = [sum(c.outcome == 'not_run' for c in calls) / len(calls) for calls in (high, low)]
    assert refused[0] < refused[1], refused


@then('every refusal stated when to retry')
def refusals_state_retry_time(context) -> None:
    refused = [c for c in context.load.history if c.outcome == 'not_run']
    assert refused
    assert all(c.retry_after for c in refused)
