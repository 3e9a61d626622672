"""Quotas of teams, kept over all entries by credit that control replicas hand out."""

from poplarlug.quotas.charging import Charge, QuotaCharging
from poplarlug.quotas.ledger import CreditLedger, QuotaBounds
from poplarlug.quotas.service import QuotaService
from poplarlug.quotas.stock import CreditStock

__all__ = [
    "Charge",
    "CreditLedger",
    "CreditStock",
    "QuotaBounds",
    "QuotaCharging",
    "QuotaService",
]
