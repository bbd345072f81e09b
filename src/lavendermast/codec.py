"""Frames exchanged between VMs: a capnp message with an authentication code."""

import hashlib
import hmac
import pathlib
import zlib

import attrs
import capnp

from lavendermast import messages_model
from lavendermast.exceptions import MessageError
from lavendermast.utils import get_fleet_secrets

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("schema") / "messages.capnp"))
FORMAT_VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = 2 + TAG_BYTES
#: Largest message accepted over TCP; a whole configuration value is at most 1 MB.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Envelope:
    """A message body with its sender; times are Unix milliseconds."""

    sender: str
    boot_id: int
    sent_at: int
    body: object


_BODY_NAMES = {cls: name for name, cls in messages_model.BODY_CLASSES.items()}


def pack_message(envelope):
    """Return the packed capnp message of an envelope, without header and tag."""
    message = _SCHEMA.Message.new_message(
        sender=envelope.sender, bootId=envelope.boot_id, sentAt=envelope.sent_at
    )
    name = _BODY_NAMES[type(envelope.body)]
    message.init(name).from_dict(envelope.body.to_dict())
    return message.to_bytes_packed()


def compress_changes(changes):
    """Return ``StoredChanges`` that hold others in compressed form."""
    message = _SCHEMA.StoredChanges.new_message()
    message.from_dict(changes.to_dict())
    compressed = zlib.compress(message.to_bytes_packed())
    return messages_model.StoredChanges(compressed=compressed)


def expand_changes(changes):
    """
    Return ``StoredChanges`` that may be in compressed form.

    :raises MessageError: when they are malformed or too large.
    """
    if not changes.compressed:
        return changes
    try:
        expander = zlib.decompressobj()
        # A small frame must not declare a value that exhausts memory.
        payload = expander.decompress(changes.compressed, MAX_MESSAGE_BYTES)
        if not expander.eof:
            raise MessageError("too_large", f"over {len(payload)} bytes")
        reader = _SCHEMA.StoredChanges.from_bytes_packed(payload)
        return messages_model.StoredChanges.from_reader(reader)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise MessageError("malformed", str(error)) from error


def measure_body(body, sender=""):
    """Return the largest size that a frame with this body and sender can have."""
    widest = 2**64 - 2
    return HEADER_BYTES + len(pack_message(Envelope(sender, widest, widest, body)))


class FrameCodec:
    """
    Encodes and authenticates peer messages.

    :param keys: mapping of key number to secret; verification accepts any of them.
    :param signing_key: number of the key that signs.

    >>> codec = FrameCodec({1: b"0123456789abcdef"}, 1)
    >>> ping = messages_model.Ping(sequence=7)
    >>> codec.decode(codec.encode(Envelope("vm-1", 5, 9, ping))).body.sequence
    7
    """

    def __init__(self, keys, signing_key):
        self._keys = dict(keys)
        self._signing_key = signing_key

    @classmethod
    def from_settings(cls, settings):
        """Return a codec with the fleet keys of the process settings."""
        keys = get_fleet_secrets(settings)
        return cls(keys, settings.fleet_keys[0].id)

    def replace_keys(self, keys, signing_key):
        """Use other keys from now on."""
        self._keys = dict(keys)
        self._signing_key = signing_key

    def encode(self, envelope):
        """Return the frame of an envelope."""
        payload = pack_message(envelope)
        head = bytes((FORMAT_VERSION, self._signing_key))
        return head + self._compute_tag(self._signing_key, head + payload) + payload

    def decode(self, frame):
        """
        Return the envelope of a frame.

        :raises MessageError: when the frame is truncated, forged, malformed or of an
            unknown version.
        """
        if len(frame) <= HEADER_BYTES:
            raise MessageError("truncated", f"{len(frame)} bytes")
        if len(frame) > MAX_MESSAGE_BYTES:
            raise MessageError("too_large", f"{len(frame)} bytes")
        version, key_id = frame[0], frame[1]
        if version != FORMAT_VERSION:
            raise MessageError("unknown_version", str(version))
        if key_id not in self._keys:
            raise MessageError("unknown_key", str(key_id))
        payload = bytes(frame[HEADER_BYTES:])
        tag = self._compute_tag(key_id, bytes(frame[:2]) + payload)
        if not hmac.compare_digest(tag, bytes(frame[2:HEADER_BYTES])):
            raise MessageError("bad_tag")
        try:
            return self._read_payload(payload)
        except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
            raise MessageError("malformed", str(error)) from error

    def _read_payload(self, payload):
        reader = _SCHEMA.Message.from_bytes_packed(payload)
        name = str(reader.which())
        body = messages_model.BODY_CLASSES[name].from_reader(getattr(reader, name))
        return Envelope(str(reader.sender), reader.bootId, reader.sentAt, body)

    def _compute_tag(self, key_id, data):
        return hmac.digest(self._keys[key_id], data, hashlib.sha256)[:TAG_BYTES]
