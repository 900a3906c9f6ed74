"""Each test process has ports of its own."""

from __future__ import annotations

from tests.support.gateway import claim_ports


def test_two_processes_never_use_the_same_ports() -> None:
    first_claim, first = claim_ports()
    second_claim, second = claim_ports()
    assert not set(first) & set(second)
    first_claim.close()
    second_claim.close()
