"""Allowances of client accounts, kept by all VMs together."""

from lavendermast.allowances.decision import Allowances
from lavendermast.allowances.sharing import AllowanceSharing

__all__ = ["AllowanceSharing", "Allowances"]
