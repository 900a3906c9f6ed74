"""Counters, gauges and timers sent by statsd; decision lines."""
