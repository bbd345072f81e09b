"""WSGI responses whose complete body is known in advance."""


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
