"""Configuration of the demo, modelled on a logistics company: 15 models, 75 adapters."""

from __future__ import annotations

from typing import Any

GIB = 1 << 30
MODELS = 15
ADAPTERS = 5
CLAIM_MODEL = 'claim-letter-0'
SUMMARY_MODEL = 'summary-0'
BOOKING_ROUTE = '/booking'
KINDS = (('claim-letter', 'high'), ('summary', 'low'), ('chat', 'normal'))


def configuration(models: int = MODELS, adapters: int = ADAPTERS) -> dict[str, Any]:
    """Return the configuration document as JSON types."""
    deployments = []
    for number in range(models):
        kind, priority_class = KINDS[number % len(KINDS)]
        deployments.append(
            {
                'name': f'{kind}-{number // len(KINDS)}',
                'version': '1',
                'weights_bytes': (6 + number % 4) * GIB,
                'kv_reserve_bytes': 2 * GIB,
                'adapters': [
                    {'name': f'depot-{index}', 'weights_bytes': GIB // 4}
                    for index in range(adapters)
                ],
                'priority_class': priority_class,
            }
        )
    return {
        'deployments': deployments,
        'policies': [
            {'name': 'steady', 'kind': 'routing', 'implementation': 'least-connections'},
            {'name': 'near-prefix', 'kind': 'routing', 'implementation': 'prefix-affinity'},
        ],
        'routes': [{'name': 'booking', 'path_prefix': BOOKING_ROUTE, 'service': 'booking'}],
    }
