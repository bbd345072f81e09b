"""Helpers that several modules use."""


def parse_address(text):
    """
    Return the host and port of an ``ip:port`` address.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
