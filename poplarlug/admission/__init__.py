"""Admission control: start, queue or refuse requests by rank and capacity."""

from poplarlug.admission.base import (
    Admission,
    AdmissionRequest,
    OpenAdmission,
    Permit,
    Refusal,
)
from poplarlug.admission.rank_admission import RankAdmission

__all__ = [
    "Admission",
    "AdmissionRequest",
    "OpenAdmission",
    "Permit",
    "RankAdmission",
    "Refusal",
]
