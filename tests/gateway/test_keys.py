"""Authorisation of calls by keys, and what the replica gets of a key."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
import pytest

from limeshelf.settings.gateway import GatewaySettings, OrganisationSettings
from tests.support import gateway as support
from tests.support.gateway import ENGINE, PLAIN, GatewayWorld, configuration, route

ROUTES = (
    route('safe', 'safe', PLAIN),
    route('open', 'safe', PLAIN, Public=True),
    route('stream', 'streaming', ENGINE, Priority=4),
)
ACME = {'Name': 'acme', 'Keys': ['key-of-acme', 'second-of-acme'], 'Priority': 2}
OTHER = {'Name': 'other', 'Keys': ['key-of-other']}
WITH_KEY = {'Authorization': 'Token key-of-acme'}


def document(version: int, *entries: dict[str, Any]) -> dict[str, Any]:
    return {**configuration(version, *ROUTES), 'Tenants': list(entries)}


class KeyWorld(GatewayWorld):
    """A gateway under a configuration with organisations."""

    def settings(self) -> GatewaySettings:
        return attrs.evolve(
            super().settings(),
            organisations=OrganisationSettings(strict_revocation=True, revoke_ms=2000.0),
        )

    async def with_organisations(self, version: int, *entries: dict[str, Any]) -> None:
        self.configure(document(version, *entries))
        assert self.gateway is not None
        active_config = self.gateway.components.active_config
        await self.until(lambda: active_config.version == version)

    def seen(self) -> list[Any]:
        return [
            seen for replica in [*self.plain, *self.engines] for seen in replica.received_calls
        ]


def run(scenario: Any) -> None:
    async def main() -> None:
        async with KeyWorld() as world:
            await world.with_organisations(2, ACME, OTHER)
            await scenario(world)

    asyncio.run(main())


def test_replica_gets_the_organisation_and_never_the_key() -> None:
    async def scenario(world: KeyWorld) -> None:
        answer = await world.call(
            '/safe/x', Limeshelf_Tenant='other', limeshelf_tenant='other', **WITH_KEY
        )
        assert answer.status == 200
        assert (await world.generate(**WITH_KEY)).status == 200
        for seen in world.seen():
            assert seen.headers['Limeshelf-Tenant'] == 'acme'
            assert 'key-of-acme' not in json.dumps(dict(seen.headers))

    run(scenario)


@pytest.mark.parametrize(
    'value',
    [
        '',
        'Token',
        'Token ',
        'Token nobody-holds-it',
        'Token key-of-acme twice',
        'Bearer key-of-acme',
        'Basic a2V5',
        'key-of-acme',
        'Token \u00e9',
        'Token ' + 'k' * 3000,
    ],
)
def test_call_without_a_known_key_is_refused_and_runs_nowhere(value: str) -> None:
    async def scenario(world: KeyWorld) -> None:
        headers = {'Authorization': value} if value else {}
        answer = await world.call('/safe/x', **headers)
        assert answer.status == 401
        assert answer.headers['WWW-Authenticate'] == 'Token'
        assert 'Retry-After' not in answer.headers
        assert world.seen() == []

    run(scenario)


def test_head_that_is_too_large_for_a_key_is_refused_as_such() -> None:
    async def scenario(world: KeyWorld) -> None:
        for size in (20_000, 100_000):
            answer = await world.call('/safe/x', Authorization='Token ' + 'k' * size)
            assert answer.status in (400, 431)
        assert world.seen() == []

    run(scenario)


def test_public_route_needs_no_key() -> None:
    async def scenario(world: KeyWorld) -> None:
        assert (await world.call('/open/x')).status == 200
        assert (await world.call('/open/x', Authorization='Token unknown')).status == 200
        assert (await world.call('/open/x', **WITH_KEY)).status == 200
        names = [seen.headers.get('Limeshelf-Tenant') for seen in world.seen()]
        assert sorted(str(name) for name in names) == ['None', 'None', 'acme']
        assert all('Authorization' not in seen.headers for seen in world.seen())

    run(scenario)


def test_priority_of_the_organisation_overrides_that_of_the_route() -> None:
    async def scenario(world: KeyWorld) -> None:
        await world.generate(**WITH_KEY)
        await world.generate(Authorization='Token key-of-other')
        priorities = {
            seen.headers['Limeshelf-Tenant']: seen.headers['Limeshelf-Request-Priority']
            for seen in world.seen()
        }
        assert priorities == {'acme': '2', 'other': '4'}

    run(scenario)


def test_revoked_key_is_unknown() -> None:
    async def scenario(world: KeyWorld) -> None:
        await world.with_organisations(3, {**ACME, 'Keys': ['second-of-acme']}, OTHER)
        assert (await world.call('/safe/x', **WITH_KEY)).status == 401
        second = {'Authorization': 'token second-of-acme'}
        assert (await world.call('/safe/x', **second)).status == 200

    run(scenario)


@attrs.define
class BlockedSelector:
    """A selector that blocks until it is released."""

    selector: Any
    released: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def select(self, state: Any) -> Any:
        await self.released.wait()
        return await self.selector.select(state)


def test_waiting_call_is_refused_once_its_key_is_revoked() -> None:
    async def scenario(world: KeyWorld) -> None:
        pipeline = world.gateway.components.pipeline
        blocked = pipeline._selector = BlockedSelector(pipeline._selector)
        call = asyncio.create_task(world.generate(**WITH_KEY))
        await asyncio.sleep(0.05)
        await world.with_organisations(3, OTHER)
        blocked.released.set()
        assert (await call).status == 401
        assert world.seen() == []

    run(scenario)


def test_keys_are_no_longer_accepted_after_too_long_without_the_store() -> None:
    async def scenario(world: KeyWorld) -> None:
        await world.store.close()
        started_s = asyncio.get_running_loop().time()
        statuses = []
        while asyncio.get_running_loop().time() < started_s + 2.6:
            statuses.append((await world.call('/safe/x', **WITH_KEY)).status)
            await asyncio.sleep(0.05)
        assert statuses[0] == 200
        assert statuses[-1] == 503
        # No 401 for an unknown key: a newer configuration may contain it.
        refused = await world.call('/safe/x', Authorization='Token unknown')
        assert refused.status == 503
        assert float(refused.headers['Retry-After']) > 0
        assert (await world.call('/open/x')).status == 200

    run(scenario)


def test_unreadable_newer_configuration_invalidates_the_keys_of_the_current_one() -> None:
    async def scenario(world: KeyWorld) -> None:
        world.store.put(
            'op', 'config', support.encode_row_value({'Version': 3, 'Tenants': 'none'})
        )
        active_config = world.gateway.components.active_config
        await world.until(lambda: active_config.is_superseded)
        assert active_config.version == 2
        assert (await world.call('/safe/x', **WITH_KEY)).status == 503
        assert (await world.call('/open/x')).status == 200
        await world.with_organisations(4, ACME)
        assert (await world.call('/safe/x', **WITH_KEY)).status == 200

    run(scenario)


def test_no_key_stands_in_a_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario(world: KeyWorld) -> None:
        await world.call('/safe/x', **WITH_KEY)
        await world.call('/safe/x', Authorization='Token unheard-of-key')
        await world.call('/safe/x', Authorization='Token ' + 'k' * 100_000)
        await world.call('/safe/x', Limeshelf_Attempt_Id='', **WITH_KEY)

    run(scenario)
    written = capsys.readouterr()
    for key in ('key-of-acme', 'unheard-of-key', 'kkkkkkkk'):
        assert key not in written.out + written.err
