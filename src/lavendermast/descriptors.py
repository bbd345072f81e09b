"""File descriptors of this process: their number and their limit."""

import os
import resource


def get_descriptor_limit():
    """Return the number of file descriptors that this process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def count_open_descriptors():
    """
    Return the number of open file descriptors.

    :raises OSError: when the system does not list them or no descriptor is left.
    """
    # The list includes the descriptor that reads it.
    return len(os.listdir("/proc/self/fd")) - 1
