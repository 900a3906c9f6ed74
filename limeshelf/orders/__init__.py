"""Orders to replicas to load and unload models and adapters, and their pending effects.

An unload order has one of three reasons:

* a model is evicted to make room for another (:mod:`limeshelf.placement.eviction`): the ``move``
  line before the ``order`` line names it as ``evicted``;
* an adapter is evicted to make room for another (:mod:`limeshelf.placement.adapters`): only an
  ``order`` line, followed by that of the load at the same replica;
* a claim (:func:`~limeshelf.orders.task.claim_task`) unloads something that the replica does not
  hold, only to show it the term's fence: a ``claim`` line instead of an ``order`` line.

The fence in an ``order`` line is that of the ``term_begun`` line of the gateway that sent it.
"""
