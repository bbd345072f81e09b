"""Reads long response bodies ahead of callers that read slowly."""

import collections

import eventlet
import eventlet.event

from lavendermast.framing import READ_BYTES

#: Bytes of one body that are held. Servers abort a response that is not read for some
#: seconds; this is what a caller at 2 Mbit/s reads in 4 s.
MAX_AHEAD_BYTES = 1024 * 1024
#: Part of the memory of all bodies up to which they are read ahead. The rest is for
#: bodies of requests and for the next piece of each response.
READ_AHEAD_SHARE = 0.75
#: Memory of one read: its piece, and as much in the buffer of the parser.
PIECE_BYTES = 2 * READ_BYTES
#: Bytes of a read for which no memory is left, so that all responses still go on.
SMALL_READ_BYTES = 4096
#: Memory that other requests return is noticed after this time.
MEMORY_RETRY_S = 0.1


class ReadAhead:
    """
    Holds the pieces of a body that a caller has not read yet.

    A task reads further pieces while the memory of the request allows that. Without
    memory, the next piece is read once the caller has read the one before.

    :param read_piece: callable ``size -> piece`` that reads about ``size`` bytes, and
        nothing at the end of the body.
    :param reservation: a :class:`~lavendermast.memory.Reservation`, or ``None``.
    :param pieces: what was read of the body before.
    :param reserved_bytes: what was reserved for these.
    """

    def __init__(self, read_piece, reservation, pieces, reserved_bytes):
        self._read_piece = read_piece
        self._reservation = reservation
        self._pieces = collections.deque(pieces)
        self._held_bytes = sum(map(len, pieces))
        self._reserved_bytes = reserved_bytes
        self._sent_bytes = 0  # the piece that the caller is being sent
        self._task = None
        self._ended = False
        self._error = None
        self._arrived, self._room = _Signal(), _Signal()

    def get(self):
        """
        Return the next piece, nothing at the end of the body.

        The caller has been sent the piece before. An error of a read is raised after
        all pieces that arrived before it.
        """
        self._held_bytes -= self._sent_bytes
        self._sent_bytes = 0
        self._return_unused()
        self._room.send()
        if self._task is None and not self._ended:
            self._task = eventlet.spawn(self._run)
        while not (self._pieces or self._ended):
            self._arrived.wait()
        if self._pieces:
            piece = self._pieces.popleft()
            self._sent_bytes = len(piece)
            return piece
        if self._error is not None:
            raise self._error
        return b""

    def close(self):
        """Stop reading, and return all memory."""
        self._ended = True
        if self._task is not None:
            self._task.kill()
        self._pieces.clear()
        self._held_bytes = self._sent_bytes = 0
        self._return_unused()

    def _run(self):
        try:
            while piece := self._read_piece(self._wait_for_room()):
                self._pieces.append(piece)
                self._held_bytes += len(piece)
                self._arrived.send()
                # A read that finds data does not yield to the hub, so a fast server
                # would delay all other requests.
                eventlet.sleep(0)
        except Exception as error:
            self._error = error
        finally:
            self._ended = True
            self._return_unused()
            self._arrived.send()

    def _wait_for_room(self):
        """Wait until a further piece may be held, and return the size to read."""
        while True:
            if not self._held_bytes:
                return READ_BYTES if self._reserve(1.0) else SMALL_READ_BYTES
            if self._held_bytes >= MAX_AHEAD_BYTES:
                self._room.wait()
            elif self._reserve(READ_AHEAD_SHARE):
                return READ_BYTES
            else:
                self._room.wait(MEMORY_RETRY_S)

    def _reserve(self, share):
        """Return whether there is memory for what is held and for one read."""
        missing = self._held_bytes + PIECE_BYTES - self._reserved_bytes
        if missing <= 0 or self._reservation is None:
            return True
        if not self._reservation.grow_within(missing, share):
            return False
        self._reserved_bytes += missing
        return True

    def _return_unused(self):
        needed = self._held_bytes + (0 if self._ended else PIECE_BYTES)
        unused = self._reserved_bytes - needed
        if unused > 0 and self._reservation is not None:
            self._reservation.shrink(unused)
            self._reserved_bytes = needed


class _Signal:
    """Wakes one task that waits."""

    def __init__(self):
        self._event = None

    def wait(self, timeout_s=None):
        self._event = eventlet.event.Event()
        with eventlet.Timeout(timeout_s, False):
            self._event.wait()

    def send(self):
        event, self._event = self._event, None
        if event is not None:
            event.send()
