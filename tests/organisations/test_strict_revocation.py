"""No gateway ever accepts a key that was revoked longer ago than the rule allows.

A stateful test of a store with its own clock and of gateways that query the store and one
another. Messages are lost, delayed, duplicated and delivered in any order, and time passes at
any point. A new configuration can be written at any moment; each revokes the previous key.
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
from tests.support.positions import make_position, make_range

RULE = AccessRule(revoked_within_s=5.0)
GATEWAYS = 3
#: Offset of the store's clock from the clock of the gateways.
STORE_OFFSET_S = -700.0
ORGANISATION = Organisation('acme')


@attrs.define(eq=False)
class GatewayCopy:
    """The copy of the configuration table at one gateway."""

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
            config_age_s=self.clock.age_upper_bound_s(self.copy.confirmed_ms),
            rule=RULE,
        )
        return isinstance(found, AccessGranted)


class RevocationMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = virtual_clock()
        self.now = self.time.__enter__()
        self.gateways = [GatewayCopy() for _ in range(GATEWAYS)]
        self.version = 1
        #: Time at which each version was replaced, on the clock of the gateways.
        self.replaced_s: dict[int, float] = {}
        self.in_flight: list[Any] = []

    def teardown(self) -> None:
        self.time.__exit__(None, None, None)

    def store_ms(self) -> int:
        return int((self.now.now_s + STORE_OFFSET_S) * 1000)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now.advance(seconds)

    @rule()
    def write(self) -> None:
        self.replaced_s[self.version] = self.now.now_s
        self.version += 1

    @rule(number=st.integers(0, GATEWAYS - 1), request_delay_s=st.sampled_from([0.0, 0.2, 2.0]))
    def ask_store(self, number: int, request_delay_s: float) -> None:
        asked_s = self.now.now_s
        self.now.advance(request_delay_s)
        page = Page(
            (Row('config', b'', make_position(self.version)),),
            make_position(self.version),
            self.store_ms(),
            as_of_ms=self.store_ms(),
        )
        self.in_flight.append((self.take_page, number, asked_s, page))

    def take_page(self, number: int, asked_s: float, page: Page) -> None:
        gateway = self.gateways[number]
        answered_s = gateway.clock.estimate_answer_s(asked_s, self.now.now_s, page.now_ms / 1000)
        gateway.copy.apply_full_read(page)
        gateway.copy.record_confirmation(answered_s, page.as_of_ms)

    @rule(sender=st.integers(0, GATEWAYS - 1), receiver=st.integers(0, GATEWAYS - 1))
    def pass_on(self, sender: int, receiver: int) -> None:
        copy = self.gateways[sender].copy
        self.in_flight.append(
            (self.take_update, receiver, copy.position.version, copy.confirmed_ms)
        )

    def take_update(self, number: int, version: int, confirmed_ms: int) -> None:
        self.gateways[number].copy.apply_update([], make_range(0, version), 0.0, confirmed_ms)

    @rule(asker=st.integers(0, GATEWAYS - 1), asked=st.integers(0, GATEWAYS - 1))
    def query(self, asker: int, asked: int) -> None:
        self.in_flight.append((self.take_query, asker, asked, self.now.now_s))

    def take_query(self, asker: int, asked: int, asked_s: float) -> None:
        answering = self.gateways[asked]
        if answering.clock.is_known:
            latest_s = answering.clock.now_upper_bound_ms() / 1000
            self.in_flight.append((self.take_clock, asker, asked_s, latest_s))
        self.pass_on(asked, asker)

    def take_clock(self, number: int, asked_s: float, store_s: float) -> None:
        self.gateways[number].clock.record_answer(asked_s, store_s)

    @rule(data=st.data(), is_duplicated=st.booleans())
    def deliver(self, data: st.DataObject, is_duplicated: bool) -> None:
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        handle, *arguments = self.in_flight[index]
        if not is_duplicated:
            del self.in_flight[index]
        handle(*arguments)

    @invariant()
    def no_key_is_accepted_too_long_after_its_revocation(self) -> None:
        for gateway in self.gateways:
            if gateway.admits():
                revoked_for_s = self.now.now_s - self.replaced_s.get(
                    gateway.version, self.now.now_s
                )
                assert revoked_for_s <= RULE.max_age_s + 0.002


TestRevocation = RevocationMachine.TestCase
TestRevocation.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
