"""The replicas of all services: what they say, what they hold, how they do.

* ``directory``: which ones there are; ``replica``: what is known of one.
* ``record``: what a replica says of itself; ``freshness``: which statement counts.
* ``loads``: calls that other gateways have under way there.
* ``health``: when one is suspended; ``penalties``: what speaks against one.
* ``connections`` and ``pool``: the connections that calls go over, and probes.
"""
