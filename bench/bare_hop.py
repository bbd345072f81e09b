"""Bare HTTP hop, the baseline for the latency that a VM adds.

Receives with eventlet.wsgi and forwards with urllib3.

Run: python -m bench.bare_hop IP:PORT; prints its own address once it listens.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import sys  # noqa: E402

import urllib3  # noqa: E402
from eventlet import wsgi  # noqa: E402


def make_application(server):
    """Return a WSGI application that forwards GET requests to one server."""
    host, _, port = server.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=8, retries=False)

    def application(environ, start_response):
        response = pool.request("GET", environ["PATH_INFO"])
        start_response(f"{response.status} Status", list(response.headers.items()))
        return [response.data]

    return application


def main():
    """Serve until the process is killed."""
    listener = eventlet.listen(("127.0.0.1", 0))
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    wsgi.server(listener, make_application(sys.argv[1]), log_output=False)


if __name__ == "__main__":
    main()
