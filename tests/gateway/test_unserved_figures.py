"""Metrics of models and adapters without a replica, which only the leader exports."""

from __future__ import annotations

import re

from limeshelf.demand.keys import ModelKey
from limeshelf.util.clock import boottime_s
from tests.support.gateway import ENGINE, GatewayWorld, run


def unserved_figures(world: GatewayWorld) -> dict[str, float]:
    text = world.gateway.components.metrics.text().decode()
    found = re.findall(r'^limeshelf_unserved_(\w+{kind="\w+"}) (\S+)$', text, re.MULTILINE)
    return {name: float(value) for name, value in found}


def test_only_the_leader_exports_unserved_keys() -> None:
    async def scenario(world: GatewayWorld) -> None:
        parts = world.gateway.components
        await world.until(parts.placement.may_order)
        all_zero = {
            'seconds{kind="model"}': 0.0,
            'seconds{kind="adapter"}': 0.0,
            'keys{kind="model"}': 0.0,
            'keys{kind="adapter"}': 0.0,
        }
        assert unserved_figures(world) == all_zero
        # No engine has this model, so no replica serves it during the test.
        key = ModelKey(ENGINE, 'unheard-of', 'a1')
        parts.placement.totals.record_missing(key)
        parts.placement.totals.latest()[key].serving_state.unserved_since_s = boottime_s() - 12.0
        figures = unserved_figures(world)
        for kind in ('model', 'adapter'):
            assert figures[f'keys{{kind="{kind}"}}'] == 1.0
            assert 12.0 <= figures[f'seconds{{kind="{kind}"}}'] < 22.0
        parts.leadership.end_term('test')
        assert unserved_figures(world) == all_zero

    run(scenario)
