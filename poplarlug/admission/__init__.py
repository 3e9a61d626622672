"""Which requests start now, which wait and which are refused at once."""

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
