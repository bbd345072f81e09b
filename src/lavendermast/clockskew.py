"""Estimates clock differences between VMs from forwarded requests."""

import collections
import heapq

import attrs

#: Samples per pair of VMs; the most accurate of them bounds the clock difference well
#: enough.
MAX_SAMPLES_PER_PAIR = 200
MAX_SAMPLES = 50_000


@attrs.frozen
class ClockOffset:
    """
    The estimated offset of a VM's clock from the clock of the reference VM.

    :param seconds: how far the clock is ahead; 0 if not known or within its error.
    :param error: largest error of the estimate; ``None`` if it is not known.
    :param samples: number of forwarded requests that the estimate is based on.
    """

    vm: str
    seconds: float = 0.0
    error: float | None = None
    samples: int = 0


@attrs.define
class _Sample:
    """One forwarded request; times are those of the clock of the VM concerned."""

    sender: str
    owner: str
    sent: float
    sender_end: float | None = None
    owner_interval: tuple | None = None


class ClockEstimator:
    """
    Collects forwarded requests and estimates clock differences.

    The owner processes a forwarded request while the sender waits for it. So the
    difference between the midpoints of the two intervals is the clock difference, and
    half of the difference between their lengths bounds its error.
    """

    def __init__(self):
        self._samples = {}
        self._counts = collections.Counter()

    def add_forwarded(self, request, sender, owner, sent):
        """Add the ``forwarded`` line of a sender."""
        pair = (sender, owner)
        if len(self._samples) >= MAX_SAMPLES:
            return
        if self._counts[pair] < MAX_SAMPLES_PER_PAIR:
            self._counts[pair] += 1
            self._samples[request] = _Sample(sender, owner, sent)

    def is_needed(self, request):
        """Return whether the ``request`` lines of this request are needed."""
        return request in self._samples

    def add_request(self, request, vm, end, latency):
        """Add the ``request`` line of the sender or the owner."""
        sample = self._samples[request]
        if vm == sample.sender:
            sample.sender_end = end
        elif vm == sample.owner and latency is not None:
            sample.owner_interval = (end - latency, end)

    def estimate(self, vms):
        """
        Return the offset of each VM by name.

        :param vms: names of all VMs; the one with the most samples is the reference.
        """
        links = self._compute_links()
        weights = collections.Counter()
        for (one, other), (_, _, count) in links.items():
            weights[one] += count
            weights[other] += count
        offsets = {}
        for vm in sorted(vms, key=lambda name: (-weights[name], name)):
            if vm not in offsets and weights[vm]:
                self._propagate_offsets(vm, links, offsets, error_known=not offsets)
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
            # Timestamps and latencies are rounded, so the error is at least 1 ms.
            slack = sample.sender_end - sample.sent - (end - start)
            if slack < -0.001:
                continue  # the owner cannot have taken longer than the sender waited
            error = max(slack / 2, 0.001)
            pair = (sample.sender, sample.owner)
            best = links.get(pair, (0, float("inf"), 0))
            count = best[2] + 1
            links[pair] = (*min(best[:2], (offset, error), key=lambda x: x[1]), count)
        return links

    def _propagate_offsets(self, root, links, offsets, error_known):
        """Set the offsets of all VMs linked to a root, along the best links."""
        neighbours = collections.defaultdict(list)
        for (one, other), (offset, error, count) in links.items():
            neighbours[one].append((error, other, offset, count))
            neighbours[other].append((error, one, -offset, count))
        # VMs without a link to the reference VM get no known error.
        queue = [(0.0, root, 0.0, 0)]
        while queue:
            total, vm, seconds, count = heapq.heappop(queue)
            if vm in offsets:
                continue
            offsets[vm] = _build_offset(vm, seconds, total, count, error_known)
            for error, other, offset, samples in neighbours[vm]:
                step = (total + error, other, seconds + offset, samples)
                heapq.heappush(queue, step)


def _build_offset(vm, seconds, error, count, error_known):
    """Return an offset; one that is smaller than its error counts as 0."""
    if abs(seconds) < error:
        seconds, error = 0.0, abs(seconds) + error
    return ClockOffset(vm, seconds, error if error_known else None, count)
