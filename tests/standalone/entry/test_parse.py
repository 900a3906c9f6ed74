"""Reading of a model request: which source of a value wins, and what is refused."""

from __future__ import annotations

import json

import attrs
import pytest

from limeshelf.errors import InvalidRequest
from limeshelf.standalone.entry.parse import ModelRequest, parse_model_request

DEFAULT_DEADLINE_S = 120.0


@attrs.frozen
class Headers:
    """As much of a request as the parser looks at."""

    headers: dict[str, str]


def parse(headers: dict[str, str], **fields: object) -> ModelRequest:
    body = {'model': 'm', 'messages': [{'role': 'user', 'content': 'hi'}], **fields}
    data = json.dumps(body).encode()
    return parse_model_request(Headers(headers), data, True, 'r', DEFAULT_DEADLINE_S)


def test_deadline_of_the_body_goes_before_the_header_and_that_before_the_default() -> None:
    header = {'X-Deadline-S': '7'}
    assert parse(header, limeshelf={'deadline_s': 3.0}).deadline_s == 3.0
    assert parse(header).deadline_s == 7.0
    assert parse({}).deadline_s == DEFAULT_DEADLINE_S


def test_caller_of_the_body_goes_before_the_header_and_that_before_the_user() -> None:
    header = {'X-Caller': 'header'}
    assert parse(header, limeshelf={'caller': 'body'}, user='user').caller == 'body'
    assert parse(header, user='user').caller == 'header'
    assert parse({}, user='user').caller == 'user'
    assert parse({}).caller == 'anonymous'


def test_prefix_key_is_that_of_the_beginning() -> None:
    start = 'x' * 400
    keys = {parse({}, messages=[{'role': 'u', 'content': start + end}]).prefix_key for end in 'ab'}
    assert len(keys) == 1
    assert parse({}).prefix_key not in keys


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('X-Caller', ''),
        ('X-Caller', 'c' * 257),
        ('X-Deadline-S', 'soon'),
        ('X-Deadline-S', 'nan'),
        ('X-Deadline-S', '86401'),
        ('Idempotency-Key', ''),
        ('Idempotency-Key', 'k' * 257),
    ],
)
def test_malformed_header_is_named(name: str, value: str) -> None:
    with pytest.raises(InvalidRequest) as caught:
        parse({name: value})
    assert caught.value.field_name == name
