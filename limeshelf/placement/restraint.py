"""When a load does not begin, whatever it gains, so that replicas stay free for others.

A replica carries out one order at a time, and a load from the weight store takes seconds. Owns
these rules alone; relies on the survey for what loads where, and on the worth of copies for whose
callers can wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.placement.survey import CopySurvey
    from limeshelf.placement.worth import CopyWorth

#: Moves that gain less leave this share of the replicas idle for urgent ones.
URGENT_GAIN_PER_S = 2.0
RESERVED_REPLICAS_SHARE = 0.34
#: Models whose callers can wait leave this share of the replicas idle, whatever they gain: when
#: demand moved to a model whose callers cannot, every replica that had its weights near was
#: busy with one that was asked for once.
RESERVED_FROM_PATIENT_SHARE = 0.5
#: A model that has been asked for without a copy for this long counts like the others.
LONG_STARVED_S = 6.0
#: A model whose callers can wait comes from the weight store only while no more than this share
#: of the replicas loads something: a load from the store occupies a replica for six seconds,
#: and when demand moved to a model in the first of them, three of six replicas were bringing
#: models that were asked for once.
PATIENT_STORE_SHARE = 0.2
#: Once this share of the replicas brings models from the weight store in place of what they have
#: near, no other begins. A model without a copy whose callers cannot wait comes all the same.
LONG_LOADS_SHARE = 0.34
#: Once a model is on its way to this share of the replicas, no further copy of it is ordered.
COMING_SHARE = 0.2


def is_withheld(model: str, idle_gain: float, survey: CopySurvey, worth: CopyWorth) -> bool:
    """Return whether a load from the weight store waits, so that replicas stay idle for others.

    :param idle_gain: what a further copy gains at an idle replica, in calls a second.
    """
    if worth.is_quiet:
        return False
    if worth.can_wait_for_a_load(model) and worth.starved_s(model) < LONG_STARVED_S:
        reserved_share = RESERVED_FROM_PATIENT_SHARE
    elif idle_gain >= URGENT_GAIN_PER_S:
        return False
    else:
        reserved_share = RESERVED_REPLICAS_SHARE
    return len(survey.idle) <= reserved_share * len(survey.replicas)


def may_occupy_for_long(model: str, survey: CopySurvey, worth: CopyWorth) -> bool:
    """Return whether a replica may bring a model from the weight store now."""
    if worth.is_quiet:
        return True
    can_wait = worth.can_wait_for_a_load(model)
    if not can_wait and not survey.copies(model).total:
        return True
    replicas = len(survey.replicas)
    if survey.long_loads() >= max(1.0, LONG_LOADS_SHARE * replicas):
        return False
    if not can_wait or worth.starved_s(model) >= LONG_STARVED_S:
        return True
    return survey.loading < max(1.0, PATIENT_STORE_SHARE * replicas)


def has_enough_coming(model: str, survey: CopySurvey) -> bool:
    """Return whether so many copies are on their way that what they serve is to be seen first."""
    coming = survey.copies(model).total - survey.copies(model).ready
    return coming >= max(1.0, COMING_SHARE * len(survey.replicas))
