"""HTTP interface for operators: metrics, health, status and routing explanations."""

import json
import urllib.parse

from lavendermast.answers import send_response


class AdminApplication:
    """
    WSGI application of the admin listener.

    :param registry: the ``metrics.MetricsRegistry`` to render.
    :param get_status: callable that returns the status mapping.
    :param explain: callable ``(method, path) -> mapping``.
    :param is_ready: callable that returns whether the VM serves callers.
    """

    def __init__(self, registry, get_status, explain, is_ready):
        self._registry = registry
        self._get_status = get_status
        self._explain = explain
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/metrics":
            content = self._registry.render()
            return send_response(start_response, "200 OK", content, "text/plain")
        if path == "/healthz":
            status = "200 OK" if self._is_ready() else "503 Service Unavailable"
            return send_response(start_response, status, content_type="text/plain")
        if path == "/status":
            return self._send_json(start_response, self._get_status())
        if path == "/explain":
            query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
            explanation = self._explain(
                query.get("method", "GET"), query.get("path", "/")
            )
            return self._send_json(start_response, explanation)
        return send_response(start_response, "404 Not Found", content_type="text/plain")

    def _send_json(self, start_response, value):
        content = json.dumps(value).encode()
        return send_response(start_response, "200 OK", content, "application/json")
