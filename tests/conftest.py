"""Hypothesis profile with the same examples in every run."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    'same-every-run',
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile('same-every-run')
