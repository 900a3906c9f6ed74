"""Asks the limiter of the data centre for each call that has a limit, and is it where needed.

The first relay of a data centre is its limiter; the second one hears the same reports and is
asked where the first is silent. Where neither answers, a gateway goes on with its own part.
Owns what this gateway uses, and the limiter and the paces while this gateway is a relay. Relies
on the digests for the reports of the others (:mod:`limeshelf.membership.digest_exchange`).
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
from limeshelf.peers.questions import AVOID_S, Questions
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.membership.members import Members
    from limeshelf.membership.messages import GatewayDigest
    from limeshelf.organisations.limits import LimitRule
    from limeshelf.organisations.organisation import UsageLimit
    from limeshelf.organisations.usage import Reservation
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: While an organisation is over its limit, calls that count as much are refused without asking
#: for this long: refusing costs next to nothing then.
REFUSED_KEPT_S = 0.1


@attrs.frozen
class _Refused:
    """The latest refusal of an organisation's call.

    :ivar amount: that it counted.
    :ivar room_s: when there is likely room for that, on the steady clock.
    """

    amount: int
    at_s: float
    room_s: float


class LimitExchange:
    """Reserves what calls use of the limits of their organisations.

    :param in_force: the limits in force where this gateway is the limiter.
    """

    def __init__(
        self, node: PeerNode, members: Members, in_force: ConfigInForce, rule: LimitRule
    ) -> None:
        self.started_ms = int(boottime_s() * MS_PER_S)
        self._node = node
        self._members = members
        self._in_force = in_force
        self._rule = rule
        self._ledger = GatewayUsage(rule.window_s)
        self._limiter: Limiter | None = None
        self._paces = TokenBuckets(rule)
        self._questions: Questions[Decision] = Questions(node, _log_silent)
        self._refused: dict[str, _Refused] = {}
        #: Whether no limiter decided on the latest call, and when one last did.
        self._is_unheard = False
        self._answered_s = -math.inf

    def start(self) -> None:
        """Take messages."""
        self._node.add_handler(LimitQuery, self._take_query)
        self._node.add_handler(LimitVerdict, self._take_verdict)

    def report(self) -> dict[str, int]:
        """Return what counts for this gateway, by organisation, to be sent to the limiters."""
        since_s = boottime_s() - self._answered_s
        return self._ledger.report(
            keeps_previous=self._is_unheard and since_s < self._rule.window_s
        )

    def check_role(self, used: dict[str, int]) -> None:
        """Be a limiter from now on, or no longer, and report to it.

        :param used: by this gateway, as it reports to the others.
        """
        if not self._members.is_relay:
            self._limiter = None
            return
        now_s = boottime_s()
        if self._limiter is None:
            self._limiter = Limiter(self._rule, now_s)
        own = self._members.own.address
        self._limiter.record_report(own, self.started_ms, self._age_s(), used, now_s)

    def take_report(self, digest: GatewayDigest) -> None:
        """Take what a gateway of this data centre says that it uses."""
        if self._limiter is not None and digest.started_ms:
            age_s = (digest.number - digest.started_ms) / MS_PER_S
            self._limiter.record_report(
                digest.address, digest.started_ms, age_s, digest.usage, boottime_s()
            )

    async def reserve(
        self, organisation: str, limit: UsageLimit, amount: int
    ) -> Reservation | Decision:
        """Reserve what a call uses, or return why that cannot be.

        :param amount: in units of the limit.
        """
        decision = self._refused_lately(organisation, amount)
        if decision is None:
            decision = await self._decide(organisation, amount)
        if decision.ruling is Ruling.OVER:
            self._note_refused(organisation, amount, decision)
            return decision
        if decision.ruling is Ruling.WITHIN:
            self._ledger.record_grant(organisation, amount)
        elif not self._may_use(organisation, limit, amount):
            return decision
        return self._ledger.window_of(organisation).reserve(amount)

    def _may_use(self, organisation: str, limit: UsageLimit, amount: int) -> bool:
        """Return whether a call may run that no limiter decides on."""
        if not self._members.are_listed:
            return False
        own_part = self._rule.gateway_quota(limit, self._gateways(), self._age_s())
        return self._ledger.may_use_without_limiter(organisation, amount, own_part)

    def _refused_lately(self, organisation: str, amount: int) -> Decision | None:
        refused = self._refused.get(organisation)
        now_s = boottime_s()
        if refused is None or amount < refused.amount or now_s > refused.at_s + REFUSED_KEPT_S:
            return None
        return Decision(Ruling.OVER, max(0.0, refused.room_s - now_s))

    def _note_refused(self, organisation: str, amount: int, decision: Decision) -> None:
        now_s = boottime_s()
        refused = self._refused.get(organisation)
        if refused is None or now_s > refused.at_s + REFUSED_KEPT_S:
            self._refused[organisation] = _Refused(amount, now_s, now_s + decision.wait_s)

    def _age_s(self) -> float:
        return boottime_s() - self.started_ms / MS_PER_S

    def _gateways(self) -> int:
        return len(self._members.in_own_centre()) + 1

    async def _decide(self, organisation: str, amount: int) -> Decision:
        """Return the decision of the first limiter that answers."""
        for address in self._limiters():
            decision: Decision | None
            if address == LOCAL:
                decision = self._decide_here(self._members.own.address, organisation, amount)
            else:
                decision = await self._ask(address, organisation, amount)
            if decision is not None and decision.ruling is not Ruling.UNKNOWN:
                self._answered_s = boottime_s()
                self._is_unheard = False
                return decision
        self._is_unheard = True
        return Decision(Ruling.UNKNOWN)

    def _limiters(self) -> list[str]:
        """Return whom to ask, the first first; :data:`LOCAL` for this process."""
        own = self._members.own
        addresses = [LOCAL if one is own else one.address for one in self._members.own_relays()]
        return [one for one in addresses if not self._questions.is_avoided(one)]

    def _decide_here(self, gateway: str, organisation: str, amount: int) -> Decision:
        config = self._in_force.config
        organisations = config.organisations if config is not None else None
        limit = organisations.limit_of(organisation) if organisations is not None else None
        if self._limiter is None or limit is None:
            # Not a relay here, or of another version of the configuration than the asker.
            return Decision(Ruling.UNKNOWN)
        now_s = boottime_s()
        wait_s = self._paces.wait_s(organisation, limit, amount, now_s)
        if wait_s:
            return Decision(Ruling.OVER, wait_s)
        question = LimitRequest(gateway, organisation, limit, amount, self._gateways())
        is_first = self._members.is_first_relay
        decision = self._limiter.decide(question, now_s, is_first=is_first)
        if decision.ruling is Ruling.WITHIN:
            self._paces.deduct(organisation, amount)
        return decision

    async def _ask(self, address: str, organisation: str, amount: int) -> Decision | None:
        """Return the decision of another gateway, ``None`` if it is silent."""
        query = LimitQuery(new_id('l'), organisation, amount)
        return await self._questions.ask(address, query.query_id, query)

    def _take_query(self, envelope: Envelope) -> None:
        query: LimitQuery = envelope.message
        decision = self._decide_here(envelope.sender, query.organisation, query.amount)
        wait_ms = int(decision.wait_s * MS_PER_S)
        self._node.send(envelope.sender, LimitVerdict(query.query_id, decision.ruling, wait_ms))

    def _take_verdict(self, envelope: Envelope) -> None:
        verdict: LimitVerdict = envelope.message
        decision = Decision(verdict.ruling, verdict.wait_ms / MS_PER_S)
        self._questions.answer(verdict.query_id, decision)


def _log_silent(address: str) -> None:
    log_change('limiter_silent', limiter=address, avoided_s=AVOID_S)
