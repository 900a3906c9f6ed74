"""Prompt blocks that a replica need not read again."""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.messages import DispatchQuery, SharedPart
from limeshelf.dispatch.prompt_blocks import BLOCK_LIFE_S, BLOCKS_KEPT, PromptBlocks

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


def read(*queries: DispatchQuery) -> PromptBlocks:
    blocks = PromptBlocks()
    for query in queries:
        blocks.note_read(query, NOW_S)
    return blocks


def changed(**changes: Any) -> DispatchQuery:
    return attrs.evolve(QUERY, **changes)


def test_new_prompt_is_read_whole() -> None:
    assert read().unread_tokens(QUERY, NOW_S) == 1000


def test_blocks_that_were_read_are_saved() -> None:
    assert read(QUERY).unread_tokens(QUERY, NOW_S) == 300


def test_blocks_behind_an_unknown_one_are_read_again() -> None:
    query = changed(parts=[SharedPart('new', 400), SharedPart('q', 300)])
    assert read(QUERY).unread_tokens(query, NOW_S) == 1000


def test_blocks_belong_to_a_model_and_adapter() -> None:
    query = changed(key=ModelKey('lm', 'm', 'one'))
    assert read(QUERY).unread_tokens(query, NOW_S) == 1000


def test_blocks_are_forgotten_with_age() -> None:
    blocks = read(QUERY)
    assert blocks.unread_tokens(QUERY, NOW_S + BLOCK_LIFE_S) == 300
    assert blocks.unread_tokens(QUERY, NOW_S + BLOCK_LIFE_S + 0.1) == 1000


def test_prompt_of_known_blocks_alone_has_a_token_to_read() -> None:
    query = changed(prompt_tokens=700)
    assert read(query).unread_tokens(query, NOW_S) == 1


def test_the_blocks_read_longest_ago_give_room() -> None:
    many = changed(parts=[SharedPart(f'n{number}', 1) for number in range(BLOCKS_KEPT - 1)])
    first = changed(parts=[SharedPart('p', 400)])
    second = changed(parts=[SharedPart('q', 300)])
    blocks = read(first, second, first, many)
    assert blocks.unread_tokens(first, NOW_S) == 600
    assert blocks.unread_tokens(second, NOW_S) == 1000
