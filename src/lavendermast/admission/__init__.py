"""
Admission of requests where capacity is short.

``AdmissionQueue`` is the queue of ``lavendermastd``, ``RoomQueue`` that of an entry VM
for servers that name rate limits.
"""

from lavendermast.admission.customerqueue import (
    REFUSAL_BOUND_S,
    AdmissionQueue,
    TicketState,
)
from lavendermast.admission.roomqueue import MAX_RETRY_AFTER_S, RoomQueue

__all__ = [
    "MAX_RETRY_AFTER_S",
    "REFUSAL_BOUND_S",
    "AdmissionQueue",
    "RoomQueue",
    "TicketState",
]
