"""How old this VM's copy of the store may be, by proof."""

import math

#: Proofs of states that this VM does not have yet. The state is behind for a fraction
#: of a second, in which a few batches of changes arrive.
MAX_PENDING_PROOFS = 32


class StateProofs:
    """
    The latest time up to which all changes of the store are known to be applied here.

    A proof says that the store's newest state at some time was an era and a revision.
    It counts once this VM has that revision, or a later one of the same era: before
    that the VM may lack a change which the proof includes. Times are of
    ``Clock.elapsed()``, which also counts while the machine is suspended.

    A proven time stays valid when the store is restored from a copy, because the
    catalog never returns to an older version of the configuration. It does not prove
    the state of other VMs then, which may have lacked that version.

    :param get_state: function that returns the era and revision of this VM's state.
    """

    def __init__(self, get_state, clock):
        self._get_state = get_state
        self._clock = clock
        self._proven_at = -math.inf
        self._proven_era = 0
        self._pending = {}

    def add(self, era, revision, proven_at):
        """
        Record that a state was the newest one at some time.

        :param proven_at: a time at or before which the store confirmed the state, of
            ``Clock.elapsed()``.
        """
        if not revision or proven_at > self._clock.elapsed():
            return
        state = (era, revision)
        known_at = self._pending.get(state, -math.inf)
        self._pending[state] = max(known_at, proven_at)
        self._apply_pending()
        if len(self._pending) > MAX_PENDING_PROOFS:
            del self._pending[min(self._pending, key=self._pending.get)]

    def get_age_s(self):
        """Return the seconds since this VM's state was proven, infinite if never."""
        self._apply_pending()
        return max(self._clock.elapsed() - self._proven_at, 0.0)

    def get_era_age_s(self):
        """Return the same for the state of any VM with this era and revision."""
        age_s = self.get_age_s()
        return age_s if self._proven_era == self._get_state()[0] else math.inf

    def _apply_pending(self):
        """Take over the proofs of states that this VM has reached."""
        era, revision = self._get_state()
        for state in list(self._pending):
            if state[0] == era and state[1] <= revision:
                self._proven_at = max(self._proven_at, self._pending.pop(state))
                self._proven_era = era
            elif state[0] < era:
                del self._pending[state]
