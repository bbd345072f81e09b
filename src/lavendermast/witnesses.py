"""Attempts at one server as observed by the VMs of each zone."""

import collections

import attrs

from .samples import (
    KINDS,
    MAX_PEER_FAILURE_RATIO,
    OK,
    SlidingCounts,
    find_cause,
    is_significant,
)

#: Least attempts from which a zone's shares are evaluated.
MIN_ZONE_SAMPLES = 2


@attrs.define(eq=False)
class Witness:
    """One VM's recent attempts at a server."""

    zone: str
    counts: SlidingCounts


@attrs.define
class ZoneView:
    """
    A zone's attempts at a server and at the service's other servers.

    :param own: shares by kind, summed over VMs, so that a busy VM with a bad link
        does not outweigh the others.
    """

    own: list = attrs.Factory(lambda: [0.0] * len(KINDS))
    others: list = attrs.Factory(lambda: [0.0] * len(KINDS))
    samples: int = 0
    bad: int = 0
    bad_vms: int = 0

    def add(self, counts, others, error_share):
        """Add one VM's counts for the server and for the other servers."""
        total = sum(counts)
        for kind, count in enumerate(counts):
            self.own[kind] += count / total
        others_total = sum(others)
        if others_total:
            for kind, count in enumerate(others):
                self.others[kind] += count / others_total
        self.samples += total
        self.bad += total - counts[OK]
        self.bad_vms += total - counts[OK] >= error_share * total

    def find_cause(self, detection):
        """Return this zone's ``Finding`` against the server, or ``None``."""
        if self.samples < MIN_ZONE_SAMPLES:
            return None
        return find_cause(self.own, self.others, detection)

    def find_significant_cause(self, detection):
        """Return the ``Finding`` if it is statistically significant, or ``None``."""
        significant = self.bad >= detection.min_samples and is_significant(
            self.bad, self.samples, self.others
        )
        return find_cause(self.own, self.others, detection) if significant else None

    def is_clearly_better_than(self, merged):
        """Return whether this zone's bad share is clearly below that of all zones."""
        return (
            self.samples >= MIN_ZONE_SAMPLES
            and self.bad * merged.samples
            < MAX_PEER_FAILURE_RATIO * merged.bad * self.samples
        )


def merge_zones(zones):
    """Return one view with the sums over all zones."""
    merged = ZoneView()
    for zone in zones:
        merged.own = [a + b for a, b in zip(merged.own, zone.own, strict=True)]
        merged.others = [a + b for a, b in zip(merged.others, zone.others, strict=True)]
        merged.samples += zone.samples
        merged.bad += zone.bad
        merged.bad_vms += zone.bad_vms
    return merged


def group_by_zone(witnesses, totals, error_share, now):
    """
    Return a ``ZoneView`` for each zone with attempts, and remove idle witnesses.

    :param witnesses: ``Witness`` by VM; those without recent attempts are removed.
    :param totals: counts of the whole service by VM.
    :param error_share: share of bad attempts from which a VM is a witness.
    """
    zones = collections.defaultdict(ZoneView)
    for vm, witness in list(witnesses.items()):
        witness.counts.expire(now)
        counts = witness.counts.totals
        if not sum(counts):
            del witnesses[vm]
            continue
        pairs = zip(totals.get(vm, counts), counts, strict=True)
        others = [max(0, a - b) for a, b in pairs]
        zones[witness.zone].add(counts, others, error_share)
    return zones
