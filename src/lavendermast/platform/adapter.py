"""Adapts the hosting platform to the interface that an entry VM needs."""

import os

import attrs

from lavendermast.accounts import compute_read_timeouts
from lavendermast.entry import CallerHeaderNames

from . import calls, documents
from .store import READ_TIMEOUT_S, MetadataStore

SETTINGS_VARIABLE = "LAVENDERMAST_BOOT"


@attrs.frozen
class Platform:
    """Names, formats and calls of the platform that an ``EntryNode`` uses."""

    header_names: CallerHeaderNames
    protocol: calls.PlatformServerProtocol
    source: MetadataStore
    zones: dict
    directory_path: str = calls.DIRECTORY_PATH
    ready_path: str = calls.READY_PATH

    @classmethod
    def from_settings(cls, settings, clock):
        """Return the platform for the settings of an entry VM."""
        return cls(
            CallerHeaderNames(
                calls.REQUEST_ID_VARIABLE,
                calls.TIME_LEFT_VARIABLE,
                calls.REQUEST_ID_HEADER,
                calls.KEY_VARIABLE,
                calls.ACCOUNT_HEADERS,
            ),
            calls.PlatformServerProtocol(clock),
            MetadataStore(
                settings.store_address,
                *compute_read_timeouts(settings.key_removal_ms, READ_TIMEOUT_S),
            ),
            {item.zone: item.region for item in settings.zones},
        )

    def decode(self, key, content):
        """Decode the document stored under a key."""
        return documents.decode_document(key, content, self.zones)

    def read_query(self, query):
        """Return the caller's region and zone from a directory query."""
        return calls.read_directory_query(query)

    def make_directory_body(self, addresses, ttl_s):
        """Return the body of a directory response."""
        return calls.encode_directory_body(addresses, ttl_s)


def get_settings_path():
    """Return the path of the settings file that the platform specifies."""
    return os.environ.get(SETTINGS_VARIABLE, "")
