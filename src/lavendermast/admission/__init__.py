"""
Admission of requests where capacity is short.

``Admission`` decides in an entry VM and ``AdmissionQueue`` in ``lavendermastd``.
``RoomQueue`` holds the requests of an entry VM that wait for servers that name rate
limits, while ``Admission`` is off.
"""

from lavendermast.admission.customerqueue import (
    REFUSAL_BOUND_S,
    AdmissionQueue,
    TicketState,
)
from lavendermast.admission.entry import Admission, OpenPass
from lavendermast.admission.roomqueue import MAX_RETRY_AFTER_S, RoomQueue

__all__ = [
    "MAX_RETRY_AFTER_S",
    "REFUSAL_BOUND_S",
    "Admission",
    "AdmissionQueue",
    "OpenPass",
    "RoomQueue",
    "TicketState",
]
