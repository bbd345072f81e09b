"""Tests for how fast a simulated fleet follows the store while parts of it fail."""

import pytest

from bench.propagation import run_seed

SECONDS = 30.0


@pytest.mark.parametrize(
    ("kind", "seed"), [("store_cut", 5), ("links_cut", 1), ("freeze", 1), ("kill", 1)]
)
def test_vm_in_contact_with_the_store_follows_it_whatever_happens_to_others(kind, seed):
    """Guards against VMs whose configuration and servers are as old as a peer's."""
    _, findings = run_seed(seed, SECONDS, kinds=[kind])
    assert findings == []
