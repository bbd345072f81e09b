"""Versioned documents: total order of versions, deltas and verified content."""

import collections
import enum
import hashlib

import attrs
import zstandard

from lavendermast.exceptions import MessageError
from lavendermast.messages_model import Document, DocumentVersion

#: Versions kept of each document, including the current one; a VM that missed two
#: changes still receives a delta.
HISTORY_LENGTH = 4
#: Values in the store are at most 1 MB; this bounds the memory that a corrupted frame
#: can claim.
MAX_VALUE_BYTES = 2 * 1024 * 1024
MAX_REMEMBERED_VERSIONS = 64
MAX_CACHED_REPLIES = 4
COMPRESSION_LEVEL = 3
MIN_WINDOW_LOG = 17
MAX_WINDOW_LOG = 24
MIN_HASH_LOG = 12
MAX_HASH_LOG = 22


class OfferResult(enum.StrEnum):
    """Result of offering a value."""

    ACCEPTED = "accepted"
    OLDER = "older"
    SAME = "same"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@attrs.frozen
class StoredValue:
    """One version of a document."""

    name: str
    version: int
    digest: bytes
    content: bytes


def compute_digest(content):
    """Return the digest by which a value is verified."""
    return hashlib.sha256(content).digest()


def compress(content, base=b""):
    """
    Compress content, with an older value as dictionary if there is one.

    >>> old = b"route-1 /stock " * 100
    >>> expand(compress(old + b"!", old), old) == old + b"!"
    True
    """
    # The window must hold the old value as well as the new one. The hash table needs
    # an entry for each position of the old value. For example, the delta of a 4.7 MB
    # value (larger than those accepted here) with two changed entries takes 745 KB with
    # the level's default table and 514 B with this one.
    window_log = (len(base) + len(content)).bit_length()
    options = {"window_log": min(max(window_log, MIN_WINDOW_LOG), MAX_WINDOW_LOG)}
    if base:
        hash_log = min(max(len(base).bit_length(), MIN_HASH_LOG), MAX_HASH_LOG)
        options |= {"hash_log": hash_log, "chain_log": hash_log}
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, **options
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_make_dictionary(base)
    )
    return compressor.compress(content)


def expand(data, base=b""):
    """
    Decompress the output of :func:`compress`.

    :raises MessageError: when the data are damaged or the declared size is too large.
    """
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_VALUE_BYTES:
            raise MessageError("document_too_large", f"{size} bytes")
        decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
        return decompressor.decompress(data)
    except zstandard.ZstdError as error:
        raise MessageError("damaged_document", str(error)) from error


def _make_dictionary(base):
    if not base:
        return None
    raw = zstandard.DICT_TYPE_RAWCONTENT
    return zstandard.ZstdCompressionDict(base, dict_type=raw)


class DocumentStore:
    """
    The current documents of one VM and their recent versions.

    :param record_event: called as ``record_event(event, **fields)``.
    :param validate: called as ``validate(name, content)``; returns findings.
    """

    def __init__(self, clock, record_event, validate):
        self._clock = clock
        self._record_event = record_event
        self._validate = validate
        self._history = {}
        self._rejected = collections.OrderedDict()
        self._reported_conflicts = collections.OrderedDict()
        self._replies = collections.OrderedDict()
        self.accepted_at = {}
        self.on_accept = []

    def get(self, name):
        """Return the current :class:`StoredValue`, or ``None``."""
        history = self._history.get(name)
        return history[-1] if history else None

    def get_versions(self):
        """Return the current versions of all documents, as they are announced."""
        values = [history[-1] for _, history in sorted(self._history.items())]
        return tuple(DocumentVersion(v.name, v.version, v.digest) for v in values)

    def offer(self, name, version, content, source):
        """
        Make a value current if it is valid and newer than the current one.

        :return: an :class:`OfferResult`.
        """
        value = StoredValue(name, version, compute_digest(content), bytes(content))
        result = self._compare(value, source)
        if result is not None:
            return result
        findings = self._collect_findings(name, content)
        if findings:
            self._put_bounded(self._rejected, (name, version, value.digest))
            text = "; ".join(str(finding) for finding in findings)
            self._record("config_rejected", value, source, findings=text)
            return OfferResult.REJECTED
        self._activate(value, source)
        return OfferResult.ACCEPTED

    def is_wanted(self, announced, source):
        """
        Return whether an announced version must be fetched.

        A conflict is recorded if its digest differs from that of the same version here.
        """
        if not announced.name or not announced.version:
            return False
        return self._compare(announced, source) is None

    def get_version_and_digest(self, name):
        """Return the current version and digest of a document for a fetch request."""
        value = self.get(name)
        return (value.version, value.digest) if value else (0, b"")

    def make_reply(self, request):
        """
        Return the reply to a ``FetchDocument`` with the current value.

        It is a delta if the requester's value is kept here; version 0 means no value.
        """
        value = self.get(request.name)
        if value is None:
            return Document(name=request.name)
        base = self._find_base(request.name, request.have_digest)
        key = (value.digest, base.digest if base else b"")
        data = self._replies.get(key)
        if data is None:
            data = compress(value.content, base.content if base else b"")
            self._put_bounded(self._replies, key, data, MAX_CACHED_REPLIES)
        return Document(value.name, value.version, value.digest, key[1], data)

    def apply(self, document, source="peer"):
        """
        Verify a received document and offer its content.

        :return: an :class:`OfferResult`.
        :raises MessageError: when the content cannot be verified; nothing is changed.
        """
        result = self._compare(document, source)
        if result is not None:
            return result
        base = self._find_base(document.name, document.base_digest)
        if document.base_digest and base is None:
            raise MessageError("unknown_base", document.name)
        content = expand(document.content, base.content if base else b"")
        if compute_digest(content) != document.digest:
            raise MessageError("wrong_digest", document.name)
        return self.offer(document.name, document.version, content, source)

    def _compare(self, value, source):
        """Return why a value is not accepted, or ``None`` if it may be."""
        current = self.get(value.name)
        if current is not None and value.version < current.version:
            return OfferResult.OLDER
        if current is not None and value.version == current.version:
            if value.digest == current.digest:
                return OfferResult.SAME
            self._report_conflict(value, source)
            return OfferResult.CONFLICT
        if (value.name, value.version, value.digest) in self._rejected:
            return OfferResult.REJECTED
        return None

    def _collect_findings(self, name, content):
        try:
            return self._validate(name, content)
        except Exception as error:  # A value that makes validation fail is rejected.
            return [f"{type(error).__name__}: {error}"]

    def _activate(self, value, source):
        history = self._history.setdefault(
            value.name, collections.deque(maxlen=HISTORY_LENGTH)
        )
        history.append(value)
        self.accepted_at[value.name] = self._clock.monotonic()
        self._record("config_accepted", value, source)
        for callback in self.on_accept:
            callback(value)

    def _report_conflict(self, value, source):
        key = (value.name, value.version, value.digest)
        if key not in self._reported_conflicts:
            self._put_bounded(self._reported_conflicts, key)
            self._record(
                "config_conflict", value, source, findings="same version, other digest"
            )

    def _find_base(self, name, digest):
        for value in self._history.get(name, ()):
            if digest and value.digest == digest:
                return value
        return None

    def _record(self, event, value, source, **fields):
        self._record_event(
            event,
            document=value.name,
            version=value.version,
            digest=value.digest.hex()[:16],
            source=source,
            **fields,
        )

    @staticmethod
    def _put_bounded(mapping, key, item=True, limit=MAX_REMEMBERED_VERSIONS):
        mapping[key] = item
        while len(mapping) > limit:
            mapping.popitem(last=False)
