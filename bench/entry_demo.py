"""Demo of one entry VM with stand-ins: a hedge against a gray server, and its log."""

import pathlib
import tempfile

import eventlet

eventlet.monkey_patch()

from standins.entryworld import EntryWorld  # noqa: E402

#: Time for the log writer to write its queue.
LOG_FLUSH_S = 0.3


def run_demo():
    """Print the responses to a caller and the log lines of one hedged request."""
    with tempfile.TemporaryDirectory() as folder:
        world = EntryWorld(pathlib.Path(folder) / "entry.json")
        world.add("gray-1", "hang")
        world.add("sound-1")
        world.wait_ready(2)
        responses = [world.send("/stock/7") for _ in range(6)]
        eventlet.sleep(LOG_FLUSH_S)
        log = world.stop()
    for number, response in enumerate(responses, 1):
        print(f"id-{number}: {response.status} {response.data.decode()}")
    second_attempts = [line for line in log.splitlines() if "attempt=2" in line]
    request = (
        second_attempts[0].split("request=")[1].split()[0]
        if second_attempts
        else "id-1"
    )
    print(f"log lines of {request}:")
    for line in log.splitlines():
        if f"request={request} " in line:
            print(f"  {line}")


if __name__ == "__main__":
    run_demo()
