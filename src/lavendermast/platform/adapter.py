"""The platform's parts as an entry node takes them."""

import os

import attrs

from lavendermast.entry import EntryCalls

from . import calls, documents
from .store import MetadataStore

SETTINGS_VARIABLE = "LAVENDERMAST_BOOT"


@attrs.frozen
class Platform:
    """Names, formats and calls that an entry node needs."""

    calls: EntryCalls
    protocol: calls.PlatformServerProtocol
    source: MetadataStore
    zones: dict
    directory_path: str = calls.DIRECTORY_PATH
    ready_path: str = calls.READY_PATH

    @classmethod
    def from_settings(cls, settings, clock):
        """Return the platform that an entry VM's settings name."""
        return cls(
            EntryCalls(
                calls.REQUEST_ID_VARIABLE,
                calls.TIME_LEFT_VARIABLE,
                calls.REQUEST_ID_HEADER,
            ),
            calls.PlatformServerProtocol(clock),
            MetadataStore(settings.store_address),
            {item.zone: item.region for item in settings.zones},
        )

    def decode(self, key, content):
        """Return the typed document of a key."""
        return documents.decode_document(key, content, self.zones)

    def read_query(self, query):
        """Return the region and zone of a caller that asks for addresses."""
        return calls.read_directory_query(query)

    def make_answer(self, addresses, hold_s):
        """Return the body that names addresses."""
        return calls.make_directory_answer(addresses, hold_s)


def get_settings_path():
    """Return the path of the settings file that the platform names."""
    return os.environ.get(SETTINGS_VARIABLE, "")
