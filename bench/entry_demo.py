"""One entry VM on stand-ins: a request past a gray server, and the lines about it."""

import pathlib
import tempfile

import eventlet

eventlet.monkey_patch()

from standins.entryworld import EntryWorld  # noqa: E402

FLUSH_S = 0.3


def run_demo():
    """Print what a caller got and what the log says about it."""
    with tempfile.TemporaryDirectory() as folder:
        world = EntryWorld(pathlib.Path(folder) / "entry.json")
        world.add("gray-1", "hang")
        world.add("sound-1")
        world.wait_ready(2)
        replies = [world.send("/stock/7") for _ in range(6)]
        eventlet.sleep(FLUSH_S)
        log = world.stop()
    for number, reply in enumerate(replies, 1):
        print(f"id-{number}: {reply.status} {reply.data.decode()}")
    tried = [line for line in log.splitlines() if "attempt=2" in line]
    request = tried[0].split("request=")[1].split()[0] if tried else "id-1"
    print(f"the log about {request}:")
    for line in log.splitlines():
        if f"request={request} " in line:
            print(f"  {line}")


if __name__ == "__main__":
    run_demo()
