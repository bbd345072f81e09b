"""Estimates clock differences between VMs from forwarded requests."""

import collections
import heapq

import attrs

#: Samples of one pair of VMs; the best of these bounds the difference well enough.
MAX_SAMPLES_PER_PAIR = 200
MAX_SAMPLES = 50_000


@attrs.frozen
class ClockOffset:
    """
    How far a VM's clock is ahead of the reference VM's.

    :param seconds: estimated difference; 0 when it is not known or within its error.
    :param error: largest error of the estimate; ``None`` when it is not known.
    :param samples: forwarded requests that the estimate rests on.
    """

    vm: str
    seconds: float = 0.0
    error: float | None = None
    samples: int = 0


@attrs.define
class _Sample:
    """One forwarded request; an interval is (start, end) on the VM's own clock."""

    sender: str
    owner: str
    sent: float
    sender_end: float | None = None
    owner_interval: tuple | None = None


class ClockEstimator:
    """
    Collects forwarded requests and estimates clock differences.

    The owner works on a forwarded request inside the time in which the sender
    waits for it, so the difference between the two midpoints is the difference of
    the clocks, and half of the difference in length bounds its error.
    """

    def __init__(self):
        self._samples = {}
        self._counts = collections.Counter()

    def add_forwarded(self, request, sender, owner, sent):
        """Take a ``forwarded`` line."""
        pair = (sender, owner)
        if len(self._samples) >= MAX_SAMPLES:
            return
        if self._counts[pair] < MAX_SAMPLES_PER_PAIR:
            self._counts[pair] += 1
            self._samples[request] = _Sample(sender, owner, sent)

    def is_needed(self, request):
        """Return whether the request's end is needed on both sides."""
        return request in self._samples

    def add_request(self, request, vm, end, latency):
        """Take the ``request`` line of either side."""
        sample = self._samples[request]
        if vm == sample.sender:
            sample.sender_end = end
        elif vm == sample.owner and latency is not None:
            sample.owner_interval = (end - latency, end)

    def estimate(self, vms):
        """
        Return the offset of each VM by name.

        :param vms: names of all VMs; the reference is the one with most samples.
        """
        links = self._compute_links()
        weights = collections.Counter()
        for (one, other), (_, _, count) in links.items():
            weights[one] += count
            weights[other] += count
        offsets = {}
        for vm in sorted(vms, key=lambda name: (-weights[name], name)):
            if vm not in offsets and weights[vm]:
                self._spread(vm, links, offsets, first=not offsets)
        for vm in vms:
            offsets.setdefault(vm, ClockOffset(vm))
        return offsets

    def _compute_links(self):
        """Return (offset of owner, error, samples) by (sender, owner)."""
        links = {}
        for sample in self._samples.values():
            if sample.sender_end is None or sample.owner_interval is None:
                continue
            start, end = sample.owner_interval
            offset = (start + end - sample.sent - sample.sender_end) / 2
            # Timestamps and latencies are rounded, so an error is never below 1 ms.
            spare = sample.sender_end - sample.sent - (end - start)
            if spare < -0.001:
                continue  # the owner cannot have worked longer than the sender waited
            error = max(spare / 2, 0.001)
            pair = (sample.sender, sample.owner)
            best = links.get(pair, (0, float("inf"), 0))
            count = best[2] + 1
            links[pair] = (*min(best[:2], (offset, error), key=lambda x: x[1]), count)
        return links

    def _spread(self, root, links, offsets, first):
        """Set the offsets of all VMs that are linked with a root."""
        neighbours = collections.defaultdict(list)
        for (one, other), (offset, error, count) in links.items():
            neighbours[one].append((error, other, offset, count))
            neighbours[other].append((error, one, -offset, count))
        # A second group has no link to the reference, so its error stays unknown.
        queue = [(0.0, root, 0.0, 0)]
        while queue:
            total, vm, seconds, count = heapq.heappop(queue)
            if vm in offsets:
                continue
            offsets[vm] = _describe_offset(vm, seconds, total, count, first)
            for error, other, offset, samples in neighbours[vm]:
                step = (total + error, other, seconds + offset, samples)
                heapq.heappush(queue, step)


def _describe_offset(vm, seconds, error, count, known):
    """Return an offset; one that its error does not tell from 0 counts as 0."""
    if abs(seconds) < error:
        seconds, error = 0.0, abs(seconds) + error
    return ClockOffset(vm, seconds, error if known else None, count)
