"""Rendezvous hashing."""

import xxhash


def compute_score(key, member):
    """Return the rendezvous score of a member for a key."""
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())


def rank_members(key, members):
    """
    Return members ordered by rendezvous score, highest first.

    :param key: the key to map to members.
    :param members: names of the candidates.
    :return: a list; removing a member leaves the order of the others unchanged.

    >>> ranked = rank_members("stock-1", ["a", "b", "c"])
    >>> rank_members("stock-1", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(members, key=lambda name: (-compute_score(key, name), name))
