"""Parts of WSGI responses that several applications share."""

from lavendermast.models import Outcome, Reply


class ResponseBody:
    """
    Parts of a response's body.

    :param on_close: called once the WSGI server has written them or failed to.
    """

    def __init__(self, parts, on_close):
        self._parts = parts
        self._on_close = on_close

    def __iter__(self):
        return iter(self._parts)

    def close(self):
        """End the request, and the stream that the parts come from."""
        try:
            if hasattr(self._parts, "close"):
                self._parts.close()
        finally:
            self._on_close()


def send_response(start_response, status, content=b"", content_type=None):
    """
    Start a response with Content-Length and return its body for the WSGI server.

    :param status: status line without the protocol version.
    :param content_type: value of the Content-Type header; ``None`` omits the header.
    """
    headers = [("Content-Type", content_type)] if content_type else []
    headers.append(("Content-Length", str(len(content))))
    start_response(status, headers)
    return [content]


def accepts_chunks(environ):
    """Return whether the caller detects a truncated body without Content-Length."""
    return environ["SERVER_PROTOCOL"] != "HTTP/1.0"


def reject_unknown_length(reply):
    """
    Replace a streamed body without Content-Length by an error.

    HTTP/1.0 has no chunked coding, so the caller could not detect a truncated body.
    """
    reply.stream.close()
    detail = b'{"reason": "http-1.0", "detail": "use HTTP/1.1 for this answer"}'
    return Reply(
        Outcome.UNKNOWN,
        "unframed-answer",
        502,
        [("Content-Type", "application/json")],
        detail,
        server=reply.server,
        attempts=reply.attempts,
    )
