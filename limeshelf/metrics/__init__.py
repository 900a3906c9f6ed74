"""Logs and metrics of a process.

* ``event_log``: the gateway's events as JSON lines on standard output.
* ``decision_log``: one line for each decision of the standalone programs, kept for ``explain``.
* ``prometheus``: counters, gauges and histograms that the gateway serves to a scraper.
* ``statsd``: counters, gauges and timers that the standalone programs send.
"""
