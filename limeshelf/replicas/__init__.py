"""State of the replicas of all services: models held, load, health and backpressure.

* ``directory``: all known replicas; ``replica``: the state of one replica.
* ``record``: the contents of rows and reports; ``starts``: which start of a replica a row or
  report describes; ``freshness``: which of several rows and reports is used.
* ``holdings``: removes models and adapters that refusals and orders show to be unloaded.
* ``notices``: handles rate limits, pauses and leaving announced in response heads;
  ``backpressure``: the currently valid requests of one replica.
* ``loads``: calls of other gateways in progress at the replicas.
* ``health``: when a replica is suspended; ``penalties``: cost added for failures and distance.
* ``connections`` and ``pool``: connections for calls, and probes.

Why a replica gets no calls, in the order in which the causes are checked: it is gone or
leaving (``replica``: ``takes_calls``); it does not hold the model, or is about to unload it
(``holds``); it requested a pause, or no permit is available for the call (``backpressure``,
:mod:`limeshelf.dispatch.permits`); it refused or failed this call
(:mod:`limeshelf.gateway.learning`); it is suspended (``health``); its limits for prefill or
memory are reached (:mod:`limeshelf.dispatch.limits`); another replica costs less
(``penalties``, :mod:`limeshelf.routing.plain_selector`, :mod:`limeshelf.dispatch.selector`).
"""
