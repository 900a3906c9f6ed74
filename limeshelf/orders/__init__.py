"""Orders to replicas: what is sent, and what may be there meanwhile.

Three causes unload something:

* a model that makes room for another (:mod:`limeshelf.placement.eviction`): named by
  ``evicted`` in the ``move`` line before the ``order`` line;
* an adapter that makes room for another (:mod:`limeshelf.placement.adapters`): no line
  but ``order``; the load that it makes room for follows it at that replica;
* a claim, which unloads what is not there to show the term's fence
  (:func:`~limeshelf.orders.task.claim_task`): no line.

The fence in the ``order`` line is that of the ``term_begun`` line of who ordered.
"""
