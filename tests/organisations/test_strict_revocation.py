"""No gateway ever takes a key for good that was taken away longer ago than is allowed.

A machine of a store with a clock of its own, of gateways that ask it and one another, and of
messages that are lost, held back and delivered in any order, while processes stand still. The
operator writes a new configuration at any moment; each takes the key of the one before away.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.organisations.access import AccessGranted, AccessRule, check_access
from limeshelf.organisations.organisation import Organisation, Organisations, digest_of
from limeshelf.util.clock import virtual_clock
from tests.support.positions import make_position

RULE = AccessRule(revoked_within_s=5.0)
GATEWAYS = 3
#: The store's clock minus that of the machines.
AHEAD_S = -700.0
ORGANISATION = Organisation('acme')


@attrs.define(eq=False)
class GatewayCopy:
    """What a gateway knows of the table of the configuration."""

    clock: StoreClock = attrs.field(factory=StoreClock)
    copy: TableCopy = attrs.field(factory=lambda: TableCopy('op', lambda row: None))

    @property
    def version(self) -> int:
        return self.copy.position.version

    def admits(self) -> bool:
        key = digest_of(f'key-{self.version}')
        found = check_access(
            Organisations([(ORGANISATION, [key])]),
            key,
            is_public=False,
            config_age_s=self.clock.greatest_age_s(self.copy.confirmed_ms),
            rule=RULE,
        )
        return isinstance(found, AccessGranted)


class Revocation(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = virtual_clock()
        self.now = self.time.__enter__()
        self.gateways = [GatewayCopy() for _ in range(GATEWAYS)]
        self.version = 1
        #: When each version was replaced by the next, on the machines' clock.
        self.replaced_s: dict[int, float] = {}
        self.on_the_way: list[Any] = []

    def teardown(self) -> None:
        self.time.__exit__(None, None, None)

    def store_ms(self) -> int:
        return int((self.now.now_s + AHEAD_S) * 1000)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now.advance(seconds)

    @rule()
    def write(self) -> None:
        self.replaced_s[self.version] = self.now.now_s
        self.version += 1

    @rule(number=st.integers(0, GATEWAYS - 1), there_s=st.sampled_from([0.0, 0.2, 2.0]))
    def ask_store(self, number: int, there_s: float) -> None:
        asked_s = self.now.now_s
        self.now.advance(there_s)
        page = Page(
            (Row('config', b'', make_position(self.version)),),
            make_position(self.version),
            self.store_ms(),
            as_of_ms=self.store_ms(),
        )
        self.on_the_way.append((self.take_page, number, asked_s, page))

    def take_page(self, number: int, asked_s: float, page: Page) -> None:
        gateway = self.gateways[number]
        answered_s = gateway.clock.answered_s(asked_s, self.now.now_s, page.now_ms / 1000)
        gateway.copy.take_full(page)
        gateway.copy.note_confirmed(answered_s, page.as_of_ms)

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def pass_on(self, sender: int, receiver: int) -> None:
        copy = self.gateways[sender].copy
        self.on_the_way.append(
            (self.take_update, receiver, copy.position.version, copy.confirmed_ms)
        )

    def take_update(self, number: int, version: int, confirmed_ms: int) -> None:
        self.gateways[number].copy.take_update(
            [], make_position(0), make_position(version), 0.0, confirmed_ms
        )

    @rule(asker=st.integers(0, GATEWAYS - 1), asked=st.integers(0, GATEWAYS - 1))
    def query(self, asker: int, asked: int) -> None:
        self.on_the_way.append((self.take_query, asker, asked, self.now.now_s))

    def take_query(self, asker: int, asked: int, asked_s: float) -> None:
        answering = self.gateways[asked]
        if answering.clock.is_known:
            latest_s = answering.clock.latest_ms() / 1000
            self.on_the_way.append((self.take_clock, asker, asked_s, latest_s))
        self.pass_on(asked, asker)

    def take_clock(self, number: int, asked_s: float, store_s: float) -> None:
        self.gateways[number].clock.note_answer(asked_s, store_s)

    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data: st.DataObject, again: bool) -> None:
        if not self.on_the_way:
            return
        place = data.draw(st.integers(0, len(self.on_the_way) - 1))
        handle, *arguments = self.on_the_way[place]
        if not again:
            del self.on_the_way[place]
        handle(*arguments)

    @invariant()
    def no_key_counts_that_went_too_long_ago(self) -> None:
        for gateway in self.gateways:
            if gateway.admits():
                gone_s = self.now.now_s - self.replaced_s.get(gateway.version, self.now.now_s)
                assert gone_s <= RULE.max_age_s + 0.002


TestRevocation = Revocation.TestCase
TestRevocation.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
