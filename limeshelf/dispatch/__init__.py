"""Dispatch of model calls: one gateway per data centre grants its replicas to calls.

Reading order: :mod:`~limeshelf.dispatch.client` requests a replica from the gateway selected by
:mod:`~limeshelf.dispatch.owners` and :mod:`~limeshelf.dispatch.fallback`.
:mod:`~limeshelf.dispatch.dispatcher` queues requests (:mod:`~limeshelf.dispatch.queue`) and grants
replicas (:mod:`~limeshelf.dispatch.granted`).

Its rules are in :mod:`~limeshelf.dispatch.requests` (order of service),
:mod:`~limeshelf.dispatch.selector` (which replica), :mod:`~limeshelf.dispatch.limits` (prefill
time and memory per replica), :mod:`~limeshelf.dispatch.rate_limiter` (permits of replicas that
limit their calls per second; :mod:`~limeshelf.dispatch.permits` requests those that do not come
with a grant) and :mod:`~limeshelf.dispatch.refusal` (when to refuse). They use the estimates in
:mod:`~limeshelf.dispatch.granted_load`, :mod:`~limeshelf.dispatch.prompt_blocks` and
:mod:`~limeshelf.demand.prefill_speed`.
"""
