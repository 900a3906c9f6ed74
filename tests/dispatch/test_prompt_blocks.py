"""Estimates of the prompt blocks that a replica has cached."""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.messages import DispatchQuery, SharedPart
from limeshelf.dispatch.prompt_blocks import BLOCK_TTL_S, MAX_BLOCKS, PromptBlocks

NOW_S = 1000.0
QUERY = DispatchQuery(
    'a',
    ModelKey('lm', 'm'),
    1000,
    10,
    1,
    1000,
    5000,
    300,
    'z1',
    [SharedPart('p', 400), SharedPart('q', 300)],
    [],
)


def prefilled(*queries: DispatchQuery) -> PromptBlocks:
    blocks = PromptBlocks()
    for query in queries:
        blocks.record_prefill(query, NOW_S)
    return blocks


def changed(**changes: Any) -> DispatchQuery:
    return attrs.evolve(QUERY, **changes)


def test_unknown_prompt_is_prefilled_whole() -> None:
    assert prefilled().uncached_tokens(QUERY, NOW_S) == 1000


def test_cached_blocks_are_subtracted() -> None:
    assert prefilled(QUERY).uncached_tokens(QUERY, NOW_S) == 300


def test_blocks_after_an_uncached_one_do_not_count() -> None:
    query = changed(parts=[SharedPart('new', 400), SharedPart('q', 300)])
    assert prefilled(QUERY).uncached_tokens(query, NOW_S) == 1000


def test_blocks_belong_to_a_model_and_adapter() -> None:
    query = changed(key=ModelKey('lm', 'm', 'one'))
    assert prefilled(QUERY).uncached_tokens(query, NOW_S) == 1000


def test_blocks_expire() -> None:
    blocks = prefilled(QUERY)
    assert blocks.uncached_tokens(QUERY, NOW_S + BLOCK_TTL_S) == 300
    assert blocks.uncached_tokens(QUERY, NOW_S + BLOCK_TTL_S + 0.1) == 1000


def test_fully_cached_prompt_has_one_uncached_token() -> None:
    query = changed(prompt_tokens=700)
    assert prefilled(query).uncached_tokens(query, NOW_S) == 1


def test_least_recently_prefilled_blocks_are_evicted() -> None:
    many = changed(parts=[SharedPart(f'n{number}', 1) for number in range(MAX_BLOCKS - 1)])
    first = changed(parts=[SharedPart('p', 400)])
    second = changed(parts=[SharedPart('q', 300)])
    blocks = prefilled(first, second, first, many)
    assert blocks.uncached_tokens(first, NOW_S) == 600
    assert blocks.uncached_tokens(second, NOW_S) == 1000
