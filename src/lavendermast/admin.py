"""HTTP for operators: metrics, status and explanations."""

import json
import urllib.parse

from lavendermast.answers import send_answer


class AdminApplication:
    """
    WSGI application of the admin listener.

    :param get_status: callable that returns the status mapping.
    :param explain: callable ``(method, path) -> mapping``.
    :param is_ready: callable that tells whether the VM serves callers.
    """

    def __init__(self, board, get_status, explain, is_ready):
        self._board = board
        self._get_status = get_status
        self._explain = explain
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/metrics":
            content = self._board.render()
            return send_answer(start_response, "200 OK", content, "text/plain")
        if path == "/healthz":
            status = "200 OK" if self._is_ready() else "503 Service Unavailable"
            return send_answer(start_response, status, kind="text/plain")
        if path == "/status":
            return self._answer_json(start_response, self._get_status())
        if path == "/explain":
            query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
            answer = self._explain(query.get("method", "GET"), query.get("path", "/"))
            return self._answer_json(start_response, answer)
        return send_answer(start_response, "404 Not Found", kind="text/plain")

    def _answer_json(self, start_response, value):
        content = json.dumps(value).encode()
        return send_answer(start_response, "200 OK", content, "application/json")
