"""What a process records of itself: events, decisions, and metrics.

* ``event_log``: JSON lines on standard output, of the gateway.
* ``decision_log``: one line a decision, kept for ``explain``, of the own wire.
* ``prometheus``: counters and histograms that the gateway serves to a scraper.
* ``statsd``: counters, gauges and timers that the own wire's programs send.
"""
