"""Claims an idempotency key before a call that may run at most once is sent.

Owns the rows ``claim/...`` of the table. Relies on the table's conditional writes alone,
so that any number of instances agree on who may send a call.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.table import Committed, Condition, VersionedRow, Write
from limeshelf.util.clock import wall_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.standalone.services.table import TableClient

#: Larger answers are not kept for a repeat; the repeat learns only that the call ran.
MAX_KEPT_BYTES = 16 << 10


@attrs.frozen
class KeptAnswer:
    """The answer of a claimed call, for a later repeat.

    :param body: text of the body; ``None`` when it was too large to keep.
    """

    status: int
    content_type: str
    body: str | None


@dataclass(frozen=True)
class Claimed:
    """The key belongs to this call: send it, once."""

    key: str
    claim_id: str
    version: int


@dataclass(frozen=True)
class ClaimedBefore:
    """Another request has the key.

    :param answer: its answer, or ``None`` while that is not known.
    """

    answer: KeptAnswer | None


@dataclass(frozen=True)
class ClaimMismatch:
    """The key was used before for a different call."""


class UnclaimedCause(enum.StrEnum):
    """Why it is not known whose a key is."""

    TABLE_UNAVAILABLE = 'table_unavailable'
    READ_BACK_FAILED = 'read_back_failed'
    INSERT_MAY_BE_LATE = 'insert_may_be_late'


@dataclass(frozen=True)
class ClaimsUnavailable:
    """It is not known whose the key is; nothing was sent and nothing may be."""

    cause: UnclaimedCause


ClaimOutcome = Claimed | ClaimedBefore | ClaimMismatch | ClaimsUnavailable


class ClaimKeeper:
    """Claims keys through the table service.

    A claim is a row inserted on the condition that it is absent, so of any
    number of instances exactly one gets it. When the answer to the insert is lost,
    the claim id that is read back says who has it
    (test_lost_claim_answer_is_read_back).
    """

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def claim(self, scope: str, key: str, fingerprint: str) -> ClaimOutcome:
        """Try to claim *key*.

        :param scope: route and caller that the key belongs to.
        :param fingerprint: digest of the call, so that a key is not reused for
            another one.
        """
        row_key = f'claim/{_digest(scope)}/{_digest(key)}'
        claim_id = new_id('claim')
        value = _row_value(claim_id, fingerprint, None)
        try:
            outcome = await self._table.transact([Condition(row_key, 0)], [Write(row_key, value)])
        except PlatformUnavailable:
            return ClaimsUnavailable(UnclaimedCause.TABLE_UNAVAILABLE)
        except PlatformUnknown:
            return await self._read_back(row_key, claim_id, fingerprint)
        if isinstance(outcome, Committed):
            return Claimed(row_key, claim_id, outcome.versions[row_key])
        return _claimed_by_other(outcome.rows[0], fingerprint)

    async def _read_back(self, row_key: str, claim_id: str, fingerprint: str) -> ClaimOutcome:
        try:
            row = await self._table.read(row_key)
        except (PlatformUnavailable, PlatformUnknown):
            return ClaimsUnavailable(UnclaimedCause.READ_BACK_FAILED)
        if row.value is None:
            # The insert may still arrive; nothing is sent under it.
            return ClaimsUnavailable(UnclaimedCause.INSERT_MAY_BE_LATE)
        if row.value['claim_id'] == claim_id:
            return Claimed(row_key, claim_id, row.version)
        return _claimed_by_other(row, fingerprint)

    async def keep_answer(self, claim: Claimed, answer: KeptAnswer, fingerprint: str) -> bool:
        """Store the answer for later repeats; return whether that is certain."""
        value = _row_value(claim.claim_id, fingerprint, answer)
        return await self._write(claim, value)

    async def give_back(self, claim: Claimed) -> bool:
        """Free the key after a call that surely did not run; return whether it is free."""
        return await self._write(claim, None)

    async def _write(self, claim: Claimed, value: dict[str, object] | None) -> bool:
        try:
            outcome = await self._table.transact(
                [Condition(claim.key, claim.version)], [Write(claim.key, value)]
            )
        except (PlatformUnavailable, PlatformUnknown):
            # The key stays claimed at worst, so a repeat is not run a second time. The
            # caller of the keeper logs it.
            return False
        return isinstance(outcome, Committed)


def _row_value(claim_id: str, fingerprint: str, answer: KeptAnswer | None) -> dict[str, object]:
    return {
        'claim_id': claim_id,
        'fingerprint': fingerprint,
        'claimed_unix_s': wall_s(),
        'answer': None if answer is None else attrs.asdict(answer),
    }


def fingerprint_of(method: str, path_and_query: str, body: bytes) -> str:
    """Return the digest that tells two calls apart."""
    return _digest(f'{method} {path_and_query} ' + hashlib.sha256(body).hexdigest())


def _claimed_by_other(row: VersionedRow, fingerprint: str) -> ClaimOutcome:
    value = row.value or {}
    if value.get('fingerprint') != fingerprint:
        return ClaimMismatch()
    answer = value.get('answer')
    return ClaimedBefore(KeptAnswer(**answer) if answer else None)


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:32]
