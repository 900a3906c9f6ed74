"""The replicas of all services: what they say, what they hold, how they do.

* ``directory``: which ones there are; ``replica``: the state kept of one.
* ``record``: what a replica says of itself; ``freshness``: which statement counts;
  ``holdings``: what it no longer holds before it says so.
* ``notices``: what replicas ask for in the heads of their answers; ``backpressure``: what of it
  holds for one.
* ``loads``: calls that other gateways have under way there.
* ``health``: when one is suspended; ``penalties``: what adds to the cost of one.
* ``connections`` and ``pool``: the connections that calls go over, and probes.

Why a replica gets no calls, in the order in which the causes are checked: it is gone or
leaves (``replica``: ``takes_calls``); it does not hold the model, or is about to unload it
(``holds``); it asked for a pause, or has no turn for this call (``backpressure``,
:mod:`limeshelf.dispatch.permits`); it refused or failed this call
(:mod:`limeshelf.gateway.result_rules`); it is suspended (``health``); it may not read or hold more
now (:mod:`limeshelf.dispatch.limits`); another one costs less (``penalties``,
:mod:`limeshelf.routing.plain_selector`, :mod:`limeshelf.dispatch.selector`).
"""
