"""Coordination parts of a fleet of proxies before servers that fail gray."""

__version__ = "0.1.0"
