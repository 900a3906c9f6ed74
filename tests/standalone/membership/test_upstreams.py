"""The index of holders always matches the items that the upstreams report."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.standalone.config.items import unversioned
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import UpstreamState
from limeshelf.standalone.services.instances import Listed, ListedKind
from tests.support.fuzzing import run_machine

IDS = ['u0', 'u1', 'u2']
ITEMS = ['m@1', 'm@2', 'm@1+a', 'n@1']


class DirectoryMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.directory = UpstreamDirectory('x', 4.0)
        self.sequence = 0

    @rule(ids=st.sets(st.sampled_from(IDS)), move=st.booleans())
    def listing(self, ids: set[str], move: bool) -> None:
        address = 'b' if move else 'a'
        lines = [Listed(i, ListedKind.ENGINE, 'x', address=address) for i in sorted(ids)]
        self.directory.take_listed(lines)

    @rule(
        upstream=st.sampled_from(IDS),
        boot=st.sampled_from(['b0', 'b1']),
        items=st.none() | st.lists(st.sampled_from(ITEMS), unique=True),
        leaving=st.booleans(),
        old=st.booleans(),
    )
    def state(self, upstream, boot, items, leaving, old) -> None:
        self.sequence += 1
        sequence = 0 if old else self.sequence
        state = UpstreamState(upstream, boot, sequence, True, leaving, 0, items)
        self.directory.take_state(state)

    @invariant()
    def index_matches_reports(self) -> None:
        for item in ITEMS:
            name = unversioned(item)
            expected = {
                u.upstream_id
                for u in self.directory.all()
                if any(unversioned(held) == name for held in u.ready_items)
            }
            assert {u.upstream_id for u in self.directory.holders(item)} == expected

    @invariant()
    def leaving_boot_gets_no_requests(self) -> None:
        for upstream in self.directory.all():
            if upstream.boot_id in upstream.left_boot_ids:
                assert not self.directory.takes_work(upstream, frozenset())


def test_index_of_holders() -> None:
    run_machine(DirectoryMachine, examples=200, steps=30)
