"""Gateways that share a host, each with an address of its own, carry each other's calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.gateway.results import NotCarried
from tests.gateway.test_forwarded_calls import _Fleet
from tests.support.fleet import run_fleet

if TYPE_CHECKING:
    from limeshelf.settings.gateway import GatewaySettings


class _AddressedFleet(_Fleet):
    """A fleet whose gateways have different loopback addresses."""

    def gateway_settings(self, number: int) -> GatewaySettings:
        """Return a gateway's settings, which are the same after each restart."""
        return attrs.evolve(super().gateway_settings(number), ip=f'127.0.0.{number + 2}')


def test_call_is_carried_for_a_gateway_whose_host_has_several_addresses() -> None:
    async def scenario(world: _AddressedFleet) -> None:
        await world.isolate(0)
        assert (await world.send(0, '/unsafe/x')).status == 200
        assert len(world.received()) == 1

    run_fleet(scenario, world_class=_AddressedFleet, centres=('z1', 'z1'))


def test_call_that_a_gateway_rejects_unread_is_carried_by_another() -> None:
    async def scenario(world: _Fleet) -> None:
        await world.isolate(0)
        refusing, carrying = world.components(1), world.components(2)
        refusing.frontend._is_gateway_host = lambda host: False
        carrying.frontend._is_gateway_host = lambda host: True
        statuses = [(await world.send(0, '/unsafe/x')).status for _ in range(6)]
        assert statuses == [200] * 6
        assert f'result="{NotCarried.__name__}"' in world.components(0).metrics.text().decode()

    run_fleet(scenario, world_class=_Fleet, centres=('z1', 'z1', 'z1'))
