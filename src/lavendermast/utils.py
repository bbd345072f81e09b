"""Helpers shared by several modules."""


def get_fleet_secrets(settings):
    """Return the fleet keys of process settings, as a mapping of key id to secret."""
    return {key.id: key.secret.encode() for key in settings.fleet_keys}


def parse_address(text):
    """
    Return the host and port of an ``ip:port`` address.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
