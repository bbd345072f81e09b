"""Small WSGI answers that are known whole."""


def send_answer(start_response, status, content=b"", kind=None):
    """
    Send an answer and return its body for the WSGI server.

    :param status: status line without the protocol.
    :param kind: value of the Content-Type field, which is left out without it.
    """
    headers = [("Content-Type", kind)] if kind else []
    headers.append(("Content-Length", str(len(content))))
    start_response(status, headers)
    return [content]
