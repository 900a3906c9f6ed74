"""Enforces the limits of organisations, as a client of the data centre's limiter or as limiter.

The first relay of a data centre is its limiter. The second relay receives the same usage reports
and is queried if the first does not answer. If neither answers, a gateway uses its own share of
the limit.

Owns the usage of this gateway and, while it is a relay, the limiter and its paces. Usage reports
of other gateways arrive in their digests (:mod:`limeshelf.membership.digest_exchange`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.member import LOCAL
from limeshelf.membership.messages import LimitQuery, LimitVerdict
from limeshelf.metrics.event_log import log_change
from limeshelf.organisations.limiter import Decision, Limiter, LimitRequest, Ruling
from limeshelf.organisations.token_buckets import TokenBuckets
from limeshelf.organisations.usage import GatewayUsage
from limeshelf.peers.query_client import AVOID_S, QueryClient
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.membership.members import Members
    from limeshelf.membership.messages import GatewayDigest
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit
    from limeshelf.organisations.usage import Reservation
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: For this long after a refusal, calls of the same organisation with the same or a higher amount
#: are refused without a query, which makes refusing cheap while an organisation is over its limit.
REFUSAL_CACHE_S = 0.1


@attrs.frozen
class _Refusal:
    """A cached refusal of an organisation's call; times are on the boot clock.

    :ivar amount: usage of the refused call.
    :ivar at_s: when it was refused.
    :ivar room_s: estimated time at which the limit has room for that amount.
    """

    amount: int
    at_s: float
    room_s: float


class LimitExchange:
    """Reserves the usage of calls within the limits of their organisations.

    :param active_config: the configuration whose limits apply while this gateway is the limiter.
    """

    def __init__(
        self, node: PeerNode, members: Members, active_config: ActiveConfig, rule: LimitRule
    ) -> None:
        self.started_ms = int(boottime_s() * MS_PER_S)
        self._node = node
        self._members = members
        self._active_config = active_config
        self._rule = rule
        self._ledger = GatewayUsage(rule.window_s)
        self._limiter: Limiter | None = None
        self._paces = TokenBuckets(rule)
        self._query_client: QueryClient[Decision] = QueryClient(node, _log_unanswered)
        self._refusals: dict[str, _Refusal] = {}
        #: Whether no limiter decided on the latest call, and when a limiter last did.
        self._is_limiter_unavailable = False
        self._last_decision_s = -math.inf

    def start(self) -> None:
        """Register the message handlers."""
        self._node.add_handler(LimitQuery, self._handle_query)
        self._node.add_handler(LimitVerdict, self._handle_verdict)

    def report(self) -> dict[str, int]:
        """Return the usage that counts for this gateway, by organisation, for the limiters."""
        since_s = boottime_s() - self._last_decision_s
        return self._ledger.report(
            keeps_previous=self._is_limiter_unavailable and since_s < self._rule.window_s
        )

    def update_role(self, used: dict[str, int]) -> None:
        """Create or drop the limiter as this gateway's role requires, and report usage to it.

        :param used: usage of this gateway, as reported to other gateways.
        """
        if not self._members.is_relay:
            self._limiter = None
            return
        now_s = boottime_s()
        if self._limiter is None:
            self._limiter = Limiter(self._rule, now_s)
        own = self._members.own.address
        self._limiter.record_report(own, self.started_ms, self._age_s(), used, now_s)

    def add_report(self, digest: GatewayDigest) -> None:
        """Add the usage report of a gateway of this data centre, if this gateway is a limiter."""
        if self._limiter is not None and digest.started_ms:
            age_s = (digest.number - digest.started_ms) / MS_PER_S
            self._limiter.record_report(
                digest.address, digest.started_ms, age_s, digest.usage, boottime_s()
            )

    async def reserve(
        self, organisation: str, limit: UsageLimit, amount: int
    ) -> Reservation | Decision:
        """Reserve the usage of a call, or return the decision by which it must not run.

        :param amount: usage of the call, in units of the limit.
        """
        decision = self._cached_refusal(organisation, amount)
        if decision is None:
            decision = await self._decide(organisation, amount)
        if decision.ruling is Ruling.OVER:
            self._cache_refusal(organisation, amount, decision)
            return decision
        if decision.ruling is Ruling.WITHIN:
            self._ledger.record_grant(organisation, amount)
        elif not self._fits_own_share(organisation, limit, amount):
            return decision
        return self._ledger.window_of(organisation).reserve(amount)

    def _fits_own_share(self, organisation: str, limit: UsageLimit, amount: int) -> bool:
        """Return whether a call without a limiter's decision fits this gateway's own share."""
        if not self._members.has_member_rows:
            return False
        own_share = self._rule.gateway_quota(limit, self._gateway_count(), self._age_s())
        return self._ledger.may_use_without_limiter(organisation, amount, own_share)

    def _cached_refusal(self, organisation: str, amount: int) -> Decision | None:
        refusal = self._refusals.get(organisation)
        now_s = boottime_s()
        if refusal is None or amount < refusal.amount or now_s > refusal.at_s + REFUSAL_CACHE_S:
            return None
        return Decision(Ruling.OVER, max(0.0, refusal.room_s - now_s))

    def _cache_refusal(self, organisation: str, amount: int, decision: Decision) -> None:
        now_s = boottime_s()
        refusal = self._refusals.get(organisation)
        if refusal is None or now_s > refusal.at_s + REFUSAL_CACHE_S:
            self._refusals[organisation] = _Refusal(amount, now_s, now_s + decision.wait_s)

    def _age_s(self) -> float:
        return boottime_s() - self.started_ms / MS_PER_S

    def _gateway_count(self) -> int:
        return len(self._members.in_own_centre()) + 1

    async def _decide(self, organisation: str, amount: int) -> Decision:
        """Return the decision of the first limiter that can decide."""
        for address in self._limiter_addresses():
            decision: Decision | None
            if address == LOCAL:
                decision = self._decide_locally(self._members.own.address, organisation, amount)
            else:
                decision = await self._query_limiter(address, organisation, amount)
            if decision is not None and decision.ruling is not Ruling.UNKNOWN:
                self._last_decision_s = boottime_s()
                self._is_limiter_unavailable = False
                return decision
        self._is_limiter_unavailable = True
        return Decision(Ruling.UNKNOWN)

    def _limiter_addresses(self) -> list[str]:
        """Return the limiters to query, in this order; :data:`LOCAL` for this process."""
        own = self._members.own
        addresses = [
            LOCAL if member is own else member.address for member in self._members.own_relays()
        ]
        return [limiter for limiter in addresses if not self._query_client.is_avoided(limiter)]

    def _decide_locally(self, gateway: str, organisation: str, amount: int) -> Decision:
        config = self._active_config.config
        organisations = config.organisations if config is not None else None
        limit = organisations.limit_of(organisation) if organisations is not None else None
        if self._limiter is None or limit is None:
            # This gateway is not a relay, or its configuration version has no such limit.
            return Decision(Ruling.UNKNOWN)
        now_s = boottime_s()
        wait_s = self._paces.wait_s(organisation, limit, amount, now_s)
        if wait_s:
            return Decision(Ruling.OVER, wait_s)
        question = LimitRequest(gateway, organisation, limit, amount, self._gateway_count())
        is_first = self._members.is_first_relay
        decision = self._limiter.decide(question, now_s, is_first=is_first)
        if decision.ruling is Ruling.WITHIN:
            self._paces.deduct(organisation, amount)
        return decision

    async def _query_limiter(
        self, address: str, organisation: str, amount: int
    ) -> Decision | None:
        """Return the decision of another gateway; ``None`` if it does not answer."""
        query = LimitQuery(new_id('l'), organisation, amount)
        return await self._query_client.send_query(address, query.query_id, query)

    def _handle_query(self, envelope: Envelope) -> None:
        query: LimitQuery = envelope.message
        decision = self._decide_locally(envelope.sender, query.organisation, query.amount)
        wait_ms = int(decision.wait_s * MS_PER_S)
        self._node.send(envelope.sender, LimitVerdict(query.query_id, decision.ruling, wait_ms))

    def _handle_verdict(self, envelope: Envelope) -> None:
        verdict: LimitVerdict = envelope.message
        decision = Decision(verdict.ruling, verdict.wait_ms / MS_PER_S)
        self._query_client.handle_answer(verdict.query_id, decision)


def _log_unanswered(address: str) -> None:
    log_change('limiter_silent', limiter=address, avoided_s=AVOID_S)
