"""Access checks: by key, by route and by the age of the configuration."""

from __future__ import annotations

import math

import pytest

from limeshelf.organisations.access import AccessGranted, AccessRule, Denial, check_access
from limeshelf.organisations.organisation import Organisation, Organisations, digest_of

ACME = Organisation('acme', priority=0)
KNOWN = digest_of('k-1')
UNKNOWN = digest_of('k-2')
ORGANISATIONS = Organisations([(ACME, [KNOWN])])
STRICT = AccessRule(revoked_within_s=5.0)
LENIENT = AccessRule()


@pytest.mark.parametrize(
    ('key', 'is_public', 'age_s', 'rule', 'expected'),
    [
        (KNOWN, False, 0.1, STRICT, AccessGranted(ACME)),
        (UNKNOWN, False, 0.1, STRICT, Denial.UNKNOWN_KEY),
        (None, False, 0.1, STRICT, Denial.UNKNOWN_KEY),
        # A newer configuration may have revoked a known key or added an unknown one.
        (KNOWN, False, 4.9, STRICT, Denial.CONFIG_TOO_OLD),
        (UNKNOWN, False, 4.9, STRICT, Denial.CONFIG_TOO_OLD),
        (KNOWN, False, math.inf, STRICT, Denial.CONFIG_TOO_OLD),
        (KNOWN, False, math.inf, LENIENT, AccessGranted(ACME)),
        (UNKNOWN, False, math.inf, LENIENT, Denial.UNKNOWN_KEY),
        # Public routes need no key, but a known key still identifies the organisation.
        (None, True, math.inf, STRICT, AccessGranted(None)),
        (UNKNOWN, True, 0.1, STRICT, AccessGranted(None)),
        (KNOWN, True, math.inf, STRICT, AccessGranted(ACME)),
    ],
)
def test_access_by_key_route_and_configuration_age(
    key: bytes, is_public: bool, age_s: float, rule: AccessRule, expected: object
) -> None:
    result = check_access(ORGANISATIONS, key, is_public=is_public, config_age_s=age_s, rule=rule)
    assert result == expected


def test_configuration_without_organisations_requires_no_key() -> None:
    result = check_access(None, UNKNOWN, is_public=False, config_age_s=math.inf, rule=STRICT)
    assert result == AccessGranted(None)


def test_keys_are_valid_for_less_than_the_allowed_revocation_time() -> None:
    assert 4.0 < STRICT.max_age_s < 5.0
    assert math.isinf(LENIENT.max_age_s)
