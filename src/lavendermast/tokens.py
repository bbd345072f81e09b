"""Idempotency tokens, which name the process that owns a caller's key."""

import base64
import binascii
import hashlib
import hmac
import struct

import attrs

from lavendermast.exceptions import ForgedTokenError, UnknownTokenKeyError
from lavendermast.utils import get_fleet_secrets

FORMAT_VERSION = 1
TAG_BYTES = 16
#: Bound on a key's length; the ledger holds one copy of each.
MAX_KEY_CHARS = 400
_HEAD = struct.Struct(">BBQQ")
# Tokens use a derived secret, so a peer frame's tag never verifies a token.
_DOMAIN = b"lavendermast token"


@attrs.frozen
class Token:
    """
    The owner of a key, as its token names it.

    :param accept_until: Unix ms until which the owner accepts a new key.
    """

    vm: str
    boot_id: int
    accept_until: int


def split_key(key):
    """
    Return the token and the caller's part of a key.

    :raises ForgedTokenError: when the key has no such parts.

    >>> split_key("dG9rZW4.order-7")
    ('dG9rZW4', 'order-7')
    """
    text, dot, unique = key.partition(".")
    if not (text and dot and unique) or len(key) > MAX_KEY_CHARS:
        raise ForgedTokenError("malformed key")
    if not (unique.isascii() and unique.isprintable()):
        raise ForgedTokenError("malformed key")
    return text, unique


def read_token(text):
    """
    Return a token without checking its authentication code.

    :raises ForgedTokenError: when the text is not a token.
    """
    head, _, vm, _ = _split_token(_decode(text))
    return Token(vm, head[2], head[3])


class TokenIssuer:
    """
    Issues tokens that name this process.

    :param accept_ms: time in which a new key is accepted.
    :param secret: the signing key's secret.

    >>> issuer = TokenIssuer("vm-1", 5, 60_000, 1, b"0123456789abcdef")
    >>> verifier = TokenVerifier({1: b"0123456789abcdef"})
    >>> verifier.verify(issuer.issue(1_000))
    Token(vm='vm-1', boot_id=5, accept_until=61000)
    """

    def __init__(self, vm, boot_id, accept_ms, key_id, secret):
        self._vm = vm
        self._boot_id = boot_id
        self._accept_ms = accept_ms
        self.replace_key(key_id, secret)

    @classmethod
    def from_config(cls, config, settings, boot_id):
        """Return an issuer that signs with the first fleet key."""
        key = settings.fleet_keys[0]
        accept_ms = config.tokens.accept_ms
        return cls(settings.vm, boot_id, accept_ms, key.id, key.secret.encode())

    @property
    def accept_ms(self):
        """Time in which a new key is accepted, in milliseconds."""
        return self._accept_ms

    def apply_config(self, config):
        """Use the lifetime of another configuration from now on."""
        self._accept_ms = config.tokens.accept_ms

    def replace_key(self, key_id, secret):
        """Sign with another key from now on."""
        self._key_id = key_id
        self._secret = _derive_secret(secret)

    def issue(self, now_unix_ms):
        """Return the text of a new token; the time is the ledger's."""
        return self.issue_for(self._vm, self._boot_id, now_unix_ms)

    def issue_for(self, vm, boot_id, now_unix_ms):
        """Return the text of a token that names another process of the fleet."""
        accept_until = now_unix_ms + self._accept_ms
        head = _HEAD.pack(FORMAT_VERSION, self._key_id, boot_id, accept_until)
        payload = head + vm.encode()
        data = payload + _compute_tag(self._secret, payload)
        return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class TokenVerifier:
    """
    Checks tokens of the whole fleet.

    :param keys: mapping of key number to secret.
    """

    def __init__(self, keys):
        self.replace_keys(keys)

    @classmethod
    def from_settings(cls, settings):
        """Return a verifier with the fleet keys of the process settings."""
        return cls(get_fleet_secrets(settings))

    def replace_keys(self, keys):
        """Accept only tokens signed with these keys from now on."""
        self._secrets = {
            number: _derive_secret(secret) for number, secret in keys.items()
        }

    def verify(self, text):
        """
        Return the token that a text encodes.

        :raises ForgedTokenError: when no VM can ever have accepted it.
        :raises UnknownTokenKeyError: when it may have been accepted under a retired key
            or in another format.
        """
        data = _decode(text)
        if data[0] != FORMAT_VERSION:
            raise UnknownTokenKeyError(f"format {data[0]}")
        if data[1] not in self._secrets:
            raise UnknownTokenKeyError(f"key {data[1]}")
        head, payload, vm, tag = _split_token(data)
        if not hmac.compare_digest(tag, _compute_tag(self._secrets[data[1]], payload)):
            raise ForgedTokenError("wrong authentication code")
        return Token(vm, head[2], head[3])

    def verify_key(self, key):
        """Return the token of a caller's whole key; raises as ``verify`` does."""
        return self.verify(split_key(key)[0])


def _derive_secret(secret):
    return hmac.digest(secret, _DOMAIN, hashlib.sha256)


def _compute_tag(secret, payload):
    return hmac.digest(secret, payload, hashlib.sha256)[:TAG_BYTES]


def _decode(text):
    try:
        raw = text.encode("ascii")
        data = base64.b64decode(raw + b"=" * (-len(raw) % 4), b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error) as error:
        raise ForgedTokenError("malformed token") from error
    # Two encodings of one token would be two keys, so only the canonical one is valid.
    if len(data) < 2 or base64.urlsafe_b64encode(data).rstrip(b"=") != raw:
        raise ForgedTokenError("malformed token")
    return data


def _split_token(data):
    if len(data) <= _HEAD.size + TAG_BYTES:
        raise ForgedTokenError("malformed token")
    payload, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
    try:
        vm = payload[_HEAD.size :].decode()
    except UnicodeDecodeError as error:
        raise ForgedTokenError("malformed token") from error
    return _HEAD.unpack_from(payload), payload, vm, tag
