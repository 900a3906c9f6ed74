"""Which replica a model call goes to, and when: one gateway a data centre decides it.

Reading order: :mod:`~limeshelf.dispatch.client` asks (:mod:`~limeshelf.dispatch.owners` and
:mod:`~limeshelf.dispatch.fallback` say whom), :mod:`~limeshelf.dispatch.dispatcher` queues
(:mod:`~limeshelf.dispatch.queue`) and grants (:mod:`~limeshelf.dispatch.granted`). The rules that
it applies: :mod:`~limeshelf.dispatch.requests` (order of service),
:mod:`~limeshelf.dispatch.selector` (which replica), :mod:`~limeshelf.dispatch.limits` (how much
one may read and hold), :mod:`~limeshelf.dispatch.pace` (the turns at one that takes only so many
calls a second; :mod:`~limeshelf.dispatch.turns` asks for those that no grant brings),
:mod:`~limeshelf.dispatch.refusal` (when to refuse). What they go by:
:mod:`~limeshelf.dispatch.granted_load`, :mod:`~limeshelf.dispatch.prompt_blocks`,
:mod:`~limeshelf.demand.prefill_speed`.
"""
