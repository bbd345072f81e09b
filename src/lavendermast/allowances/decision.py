"""Decides which requests of an account are within its allowance."""

import bisect
import math
import operator

import attrs
import xxhash

from lavendermast.allowances.uses import (
    DEMAND_TIME_S,
    AccountState,
    SourceUse,
    average_demand,
    clamp_number,
    decay_demand,
)
from lavendermast.messages_model import AccountUse

#: Number of times that a request waits until a report is settled; one is lost at times.
MAX_WAITS = 3
#: Time after which a report that was sent counts as known to all VMs: two prompt
#: intervals, two links between regions and a margin for queues.
SETTLING_S = 0.15
#: Interval at which each VM shows that it can be heard, and what it grows by with each
#: VM of the region, which bounds the received traffic.
CONTACT_INTERVAL_S = 0.15
CONTACT_INTERVAL_PER_VM_S = 0.004
#: A peer that sent nothing in this many intervals counts as out of contact.
MAX_MISSED_INTERVALS = 3
#: A report is confirmed when this part of the VMs was heard after it was sent.
CONFIRMING_SHARE = 0.95
#: Reports that wait for confirmation; of more, the newest and the oldest ones are kept.
MAX_UNCONFIRMED = 8
#: Part of the permitted excess by which the level may exceed the burst. The rest covers
#: further attempts, lost reports, refunds and VMs that disagree about their shares.
EXCESS_SHARE = 0.68
#: Part of the permitted excess that the level has after a start. It is not used
#: otherwise, so that all VMs may start while the old window still counts.
START_SHARE = 0.1
#: Part of the highest level that an account keeps for its most urgent requests.
URGENT_LEVEL_SHARE = 0.5
#: Part of the permitted excess that all VMs together hold as refunds, at least one
#: each, and for how long: a refund moves a request into a later window.
REFUND_SHARE = 0.1
REFUND_TIME_S = 1.0
#: Part of a limit that is divided equally, so that a VM without demand has a share.
EQUAL_SHARE = 0.2
#: The same for the shares of silent VMs, which last for seconds: with 0.2, a burst at
#: one VM just before took the shares of all others.
SILENT_EQUAL_SHARE = 1.0
#: Part of the permitted excess that all VMs together may use without reporting it.
UNREPORTED_SHARE = 0.1
#: Part of the level that other regions need not hear of while it is above half, and how
#: long.
FAR_BELOW_SHARE = 0.25
FAR_BELOW_INTERVAL_S = 2.0
#: Time in which a VM hears of all others after its start.
DISCOVERY_S = 3.0
#: Share of a VM that started and of all inactive VMs of a region together.
UNSURE_SHARE = 0.02
#: Longest ``Retry-After``; later forecasts depend on callers that may not return.
MAX_RETRY_AFTER_S = 10.0
MIN_RETRY_AFTER_S = 0.01
#: Callers of an inactive VM are directed to others by then.
INACTIVE_RETRY_AFTER_S = 1.0
#: State of an account that was not used for this long is dropped.
EVICTION_S = 60.0
#: Counts that go down after a silence this long start anew; earlier, it is an old
#: datagram.
RECOUNT_S = 30.0
#: Lower demand, requests/s, is not reported; higher demand in a report is not believed.
MIN_DEMAND = 0.02
MAX_DEMAND = 1e6
#: Interval at which the shares of an account are computed from its reports.
SHARES_INTERVAL_S = 0.05
#: Time for which what was set aside for a silent VM covers its late reports.
LATE_REPORTS_S = 1.0
#: Accounts that are examined for eviction at once, which bounds the pause.
MAX_EXPIRED_STATES = 500
#: Interval of the log lines of one account.
LOG_INTERVAL_S = 1.0


def hash_account(name):
    """Return the 64-bit hash that names an account in messages and log lines."""
    return xxhash.xxh64_intdigest(name.encode())


@attrs.frozen
class Decision:
    """
    What happens to a request.

    :param wait_s: seconds to wait before it is decided, 0.0 if it is decided.
    :param retry_after_s: seconds until a refused caller may return, 0.0 if it is
        admitted.
    """

    wait_s: float = 0.0
    retry_after_s: float = 0.0


_ADMITTED = Decision()


class Allowances:
    """
    Admits requests of accounts within their limits, which hold for all VMs together.

    Designed for 100,000 accounts, of which some thousands are in use, 124 active VMs,
    and accounts that send many times their limit to all of them at once.

    Each VM keeps the level of a token bucket per account and subtracts what any VM
    admitted. Until its own requests are known to the others, it admits no more than
    its share of the level, so that VMs which all act on the same level stay within
    it. Shares follow the demand that is known to all VMs.

    :param settings: the ``EntrySettings``.
    :param count_vms: function that returns the number of active VMs by region.
    :param count_inactive: function that returns the number of inactive VMs, 0 if this
        VM is active.
    :param random: spreads the VMs over the times at which their pace admits.

    ``on_urgent`` is called when a report should be sent at once.
    """

    def __init__(
        self, settings, clock, record_event, random, count_vms, count_inactive
    ):
        self._settings = settings
        self._clock = clock
        self._record_event = record_event
        self._random = random
        self._count_vms = count_vms
        self._count_inactive = count_inactive
        self._hold_s = settings.key_removal_ms / 1000 + settings.allowance_window_s
        self._regions = max(len({zone.region for zone in settings.zones}), 1)
        self._limits = {}
        self._states = {}
        self._to_report, self._urgent, self._to_sum = set(), set(), set()
        self._to_examine = []
        self._heard = {}
        self._vms, self._vms_at, self._region_vms = 1, -math.inf, {}
        self._inactive, self._active_at = 0, -math.inf
        self._silent_vms = 0.0
        self._heard_times = []
        self._silent_sources = frozenset()
        self._silent_s = MAX_MISSED_INTERVALS * CONTACT_INTERVAL_S
        self.contact_interval_s = CONTACT_INTERVAL_S
        self._peers_at = -math.inf
        self.started_at = self._informed_at = clock.monotonic()
        self._urgent_priority, self._has_ranks = 0, False
        self.refusals = 0
        self.on_urgent = lambda: None

    def apply_config(self, config):
        """Take over the limits of a configuration; lower ones apply at once."""
        accounts = config.accounts or ()
        priorities = {route.priority for route in config.routes if not route.public}
        self._urgent_priority = min(priorities, default=0)
        self._has_ranks = len(priorities) > 1
        self._limits = {
            hash_account(item.name): (item.rate_limit, item.burst)
            for item in accounts
            if item.rate_limit > 0
        }
        for key, state in list(self._states.items()):
            if key not in self._limits:
                del self._states[key]
                continue
            self._refill(state)
            state.rate, state.cap = self._compute_limits(key)
            state.level = min(state.level, state.cap)

    @property
    def is_idle(self):
        """Whether no use of an account waits to be reported."""
        return not self._to_report

    @property
    def has_limits(self):
        """Whether any account has a limit."""
        return bool(self._limits)

    def admit(self, account, priority=0):
        """
        Return 0.0 if a request is admitted, else the seconds until it may return.

        An account that sends more than its limit is served its most urgent requests
        first: those of other routes leave a part of its level.

        :param priority: rank of the request's route; 0 is the highest.

        The calling task waits for ``SETTLING_S`` and a report if this VM cannot tell
        a request within the allowance from one of a burst at all VMs.
        """
        decision, waits = self.decide(account, priority=priority), 0
        while decision.wait_s:
            try:
                self._clock.sleep(decision.wait_s)
            except BaseException:
                # The task was killed, and its request no longer waits.
                self.decide(account, MAX_WAITS, priority)
                raise
            waits += 1
            decision = self.decide(account, waits, priority)
        return decision.retry_after_s

    def decide(self, account, waits=0, priority=0):
        """
        Return the :class:`Decision` on a request.

        :param waits: number of times that the request has waited as a decision said.
        :param priority: see :meth:`admit`.
        """
        state = self._find_state(account)
        if state is None:
            return _ADMITTED
        now = self._refill(state)
        if waits:
            state.waiting = max(state.waiting - 1, 0)
        else:
            state.demand += 1 / DEMAND_TIME_S
            state.used_at = now
            self._to_report.add(state.key)
            self._to_sum.add(state.key)
        if self._use_refund(state, now):
            return _ADMITTED
        unsettled = state.admitted - state.settled[0]
        kept = self._compute_kept(state, priority)
        pool = state.level + unsettled - state.unheard * max(state.past_level, 0.0)
        allowed = state.share * (pool - kept)
        if unsettled + 1 <= allowed:
            self._count(state)
            if unsettled + 1 > allowed / 2:
                self._mark_urgent(state)
            self._check_met(state, now)
            return _ADMITTED
        if state.credit >= 1.0 and state.level >= 1.0 + kept:
            state.credit -= 1.0
            self._count(state)
            return _ADMITTED
        if waits < MAX_WAITS and self._may_wait(state, kept):
            state.waiting += 1
            self._mark_urgent(state)
            return Decision(wait_s=SETTLING_S + self.contact_interval_s + 0.05)
        return Decision(retry_after_s=self._refuse(state, now))

    def refund(self, account):
        """
        Return what an admitted request was counted for, as it did not run.

        The counts that other VMs know only grow, so another request of this VM takes
        its place.
        """
        state = self._find_state(account)
        if state is None:
            return
        most = REFUND_SHARE * self._compute_excess(state.key) / self._vms
        if len(state.refunds) < max(most, 1.0):
            state.refunds.append(self._clock.monotonic() + REFUND_TIME_S)

    def count_attempt(self, account):
        """Count a further attempt of a request, which is never refused."""
        state = self._find_state(account)
        if state is not None:
            self._refill(state)
            self._count(state)

    def count_exceeded(self):
        """Return the number of accounts that are over their allowance."""
        return sum(state.exceeded for state in self._states.values())

    def count_states(self):
        """Return the number of accounts with state."""
        return len(self._states)

    def expire(self):
        """Drop the state of VMs that left and of some of the unused accounts."""
        now = self._clock.monotonic()
        old = [s for s, at in self._heard.items() if now - at > self._hold_s]
        # When keys need not be confirmed, nothing else stops a VM that is cut off from
        # the others, so it keeps its last share.
        if self._settings.key_removal_ms or len(old) <= len(self._heard) / 2:
            for source in old:
                del self._heard[source]
        if not self._to_examine:
            self._to_examine = list(self._states)
        examined = self._to_examine[-MAX_EXPIRED_STATES:]
        del self._to_examine[-MAX_EXPIRED_STATES:]
        for key in examined:
            state = self._states.get(key)
            if state is None:
                continue
            self._refill(state)
            self._check_met(state, now)
            heard_at = max((e.heard_at for e in state.entries.values()), default=0.0)
            idle = now - max(state.used_at, heard_at) > EVICTION_S
            if idle and state.level >= state.cap:
                del self._states[key]

    def note_contact(self, source):
        """Note that a VM or the representative of a region was heard."""
        self._heard[source] = self._clock.monotonic()

    def release(self, source):
        """Keep no share for a VM that is known to live and to serve no callers."""
        self._heard.pop(source, None)

    def apply_use(self, source, origin, use, counting_s, is_region):
        """
        Apply a report and return how many requests of the source are counted so far.

        :param source: VM of this region, or name of another region.
        :param origin: VM and boot id of the sender, whose counts only grow.
        :param counting_s: seconds since the sender began to count.
        """
        state = self._get_state(use.account)
        if state is None:
            return 0
        now = self._refill(state)
        entry = state.entries.get(source)
        if entry is None:
            delta = self._estimate_first(state, use, counting_s, now)
            entry = state.entries[source] = SourceUse(origin, 0, 0.0, now, since=now)
        elif entry.origin != origin:
            older = entry.origin[0] == origin[0] and entry.origin[1] > origin[1]
            if older and now - entry.heard_at < RECOUNT_S:
                return entry.applied
            delta = use.admitted
            if is_region:
                gap_s = now - entry.heard_at
                demand = clamp_number(use.demand, 0.0, MAX_DEMAND)
                delta = min(delta, math.ceil(demand * gap_s))
        elif use.admitted < entry.admitted:
            if now - entry.heard_at < RECOUNT_S:
                return entry.applied
            delta = use.admitted
        else:
            delta = use.admitted - entry.admitted
        entry.origin, entry.admitted = origin, use.admitted
        entry.update(clamp_number(use.demand, 0.0, MAX_DEMAND), now)
        entry.applied += delta
        if not is_region:
            state.in_region += delta
            self._to_sum.add(state.key)
        is_late = source in state.silent_sources or state.late.get(source, 0.0) > now
        covered = min(delta, state.reserved) if is_late else 0
        state.reserved -= covered
        self._lower(state, delta - covered)
        if not state.sure and not math.isnan(use.level):
            lowest = self._compute_lowest(state)
            state.level, state.sure = clamp_number(use.level, lowest, state.cap), True
        return entry.applied

    def answer(self, uses):
        """Return what this VM knows of accounts whose level another does not know."""
        asked = [use.account for use in uses if math.isnan(use.level)]
        states = [self._get_state(key) for key in asked]
        return [self._make_use(s) for s in states if s is not None and s.sure]

    def take_uses(self, urgent_only):
        """Return this VM's uses that are due, and note that they are sent now."""
        now = self._clock.monotonic()
        uses = []
        keys, self._urgent = self._urgent, set()
        if not urgent_only:
            keys, self._to_report = self._to_report, set()
        for key in keys:
            state = self._states.get(key)
            if state is None:
                continue
            self._refill(state)
            if state.demand > MIN_DEMAND or state.admitted > state.reported:
                self._to_report.add(key)
            if self._is_due(state, now, urgent_only):
                report = (now, state.admitted, state.demand)
                if len(state.sent) >= MAX_UNCONFIRMED:
                    state.sent.pop()
                state.sent.append(report)
                state.reported_at, state.reported, state.reported_demand = report
                uses.append(self._make_use(state))
        return uses

    def take_region_uses(self, interval_s):
        """Return the sums of this region that changed since they were taken last."""
        now = self._clock.monotonic()
        uses = []
        for key in list(self._to_sum):
            state = self._states.get(key)
            if state is None:
                self._to_sum.discard(key)
                continue
            demand = self._sum_region_demand(state, now)
            changed = state.in_region - state.region_reported
            if not changed and demand < MIN_DEMAND:
                self._to_sum.discard(key)
            if not self._is_sum_due(state, changed, demand, now, interval_s):
                continue
            state.region_reported, state.region_reported_at = state.in_region, now
            state.region_reported_demand = demand
            level = state.level if state.sure else math.nan
            uses.append(AccountUse(key, state.in_region, demand, level))
        return uses

    def _compute_limits(self, key):
        """Return rate and highest level of an account."""
        rate, burst = self._limits[key]
        excess = self._compute_excess(key)
        # Without any excess a burst of less than one request would admit none.
        return rate, max(burst + EXCESS_SHARE * excess, 1.0)

    def _use_refund(self, state, now):
        """Return whether a request takes the place of one that did not run."""
        while state.refunds and state.refunds[0] < now:
            state.refunds.popleft()
        if not state.refunds:
            return False
        state.refunds.popleft()
        return True

    def _compute_excess(self, key):
        """Return the requests beyond its limit that an account may send in a window."""
        rate, burst = self._limits[key]
        settings = self._settings
        excess = settings.allowance_excess * (
            rate * settings.allowance_window_s + burst
        )
        return excess + settings.allowance_slack

    def _find_state(self, account):
        if account is None or account.rate_limit <= 0:
            return None
        return self._get_state(hash_account(account.name))

    def _get_state(self, key):
        state = self._states.get(key)
        if state is None and key in self._limits:
            now = self._clock.monotonic()
            self._update_peers(now)
            rate, cap = self._compute_limits(key)
            # After a start, what the fleet admitted before is not known yet.
            age_s = now - self._informed_at
            sure = age_s > self._hold_s and not self._inactive
            level = cap
            if not sure:
                gained = rate * min(age_s, self._hold_s)
                level = min(cap, START_SHARE * self._compute_excess(key) + gained)
            state = self._states[key] = AccountState(
                key, rate, cap, level, now, sure, used_at=now
            )
            state.credit = self._random.random()
            state.since = now
            state.past_level = state.recent_level = level
        return state

    def _refill(self, state):
        """Add what the time since the last call allows; return the time."""
        now = self._clock.monotonic()
        self._update_peers(now)
        if state.shares_at < self._peers_at:
            state.shares_at = now
            self._update_shares(state, now)
        seconds, state.updated_at = now - state.updated_at, now
        contact = 1.0 - state.silent_share
        state.level += state.rate * seconds * contact
        state.level = min(state.level, max(state.cap * contact, 1.0))
        if state.silent_share:
            state.reserved += state.rate * seconds * state.silent_share
            state.reserved = min(state.reserved, state.cap)
        state.mean = average_demand(
            state.mean, state.settled[1], seconds, now - state.since
        )
        state.demand *= math.exp(-seconds / DEMAND_TIME_S)
        self._settle(state, now)
        state.share = self._compute_share(state, now)
        # Only VMs that refused lately save up for a request, so that an account that
        # was idle does not get one from each VM at once. For the same reason nothing is
        # saved while the level admits none.
        if now - state.refused_at < self._hold_s and state.level >= 1.0:
            gain = state.rate * state.share * seconds
            state.credit = min(state.credit + gain, 1.0)
        if self._inactive:
            # What others admit is not known here; they tell the level later.
            state.sure = False
            state.level = min(state.level, UNSURE_SHARE * state.cap)
        elif now - self._informed_at > self._hold_s:
            state.sure = True
        return now

    def _settle(self, state, now):
        """Find out what the other VMs know of this one's use."""
        if self._silent_sources and not self._heard_times:
            # Its own part is all that is left to this VM, and no other uses of it.
            state.settled = state.admitted, state.settled[1]
            state.unheard = 0.0
            return
        heard, latest = 1.0, state.confirmed
        while state.sent and now - state.sent[0][0] >= SETTLING_S:
            part = self._compute_heard(state.sent[0][0])
            if part < CONFIRMING_SHARE:
                latest = state.sent[0]
                heard = part
                break
            latest = state.confirmed = state.sent.popleft()
        sent_at, admitted, demand = latest
        _, known_admitted, known_demand = state.confirmed
        known_admitted += heard * (admitted - known_admitted)
        known_demand += heard * (demand - known_demand)
        state.unheard = 1.0 - heard
        state.settled = known_admitted, decay_demand(known_demand, now - sent_at)

    def _compute_heard(self, since):
        """Return the part of the VMs in contact that was heard since a time."""
        if not self._heard_times:
            return 1.0
        index = bisect.bisect_left(self._heard_times, (since, 0.0))
        before = self._heard_times[index - 1][1] if index else 0.0
        return 1.0 - before / self._heard_times[-1][1]

    def _update_shares(self, state, now):
        """Sum the demand of others, and set the share of silent ones aside."""
        known = silent = means = 0.0
        for source, entry in list(state.entries.items()):
            heard_at = self._heard.get(source)
            if heard_at is None and now - entry.heard_at > self._hold_s:
                del state.entries[source]
                continue
            if heard_at is not None and now - heard_at > self._silent_s:
                silent += entry.past_mean
            else:
                known += decay_demand(entry.demand, now - entry.heard_at)
            means += entry.past_mean
        state.others_demand = known
        self._keep_past(state, now)
        late = state.silent_share or now - state.healed_at <= LATE_REPORTS_S
        if state.reserved and not late:
            # The VMs are heard again and did not use it, or are long gone.
            state.level += state.reserved
            state.reserved = 0.0
            state.late.clear()
        equal = SILENT_EQUAL_SHARE * state.rate / self._vms
        # The demand of VMs in contact may grow, and that of silent ones too. So the
        # share of the latter stays what it was when contact was lost.
        if state.silent_sources == self._silent_sources:
            return
        for source in state.silent_sources - self._silent_sources:
            state.late[source] = now + LATE_REPORTS_S
        state.silent_sources = self._silent_sources
        total = means + state.past_mean + equal * self._vms
        share = min((silent + equal * self._silent_vms) / total, 0.999)
        self._set_aside(state, share)
        if state.silent_share and not share:
            state.healed_at = now
        state.silent_share = share

    def _keep_past(self, state, now):
        """Keep level and demand of the time before a VM is found to be silent."""
        if now - state.recent_at <= self._silent_s + SETTLING_S:
            return
        state.recent_at = now
        state.past_level, state.recent_level = state.recent_level, state.level
        if self._silent_sources:
            # VMs that are cut off are missed one by one, and all means have to be of
            # the same time.
            return
        state.past_mean, state.recent_mean = state.recent_mean, state.mean
        for entry in state.entries.values():
            entry.past_mean = entry.recent_mean
            entry.recent_mean = entry.compute_mean(now)

    def _set_aside(self, state, share):
        """Lower the level by what VMs that became silent may use unnoticed."""
        contact = 1 - state.silent_share
        lost = (share - state.silent_share) / contact
        if lost <= 0:
            return
        # Silent VMs may have used their part of what was left when they were heard
        # last, and others the whole of it since.
        unsettled = state.admitted - state.settled[0]
        missed = lost * state.rate * contact * self._silent_s
        level = max(state.past_level, state.level + unsettled) - missed
        kept = missed + lost * max(level, 0.0)
        state.reserved += kept
        self._lower(state, kept)
        state.past_level *= 1 - lost
        state.recent_level *= 1 - lost

    def _update_peers(self, now):
        """Count VMs and silent VMs, at most once in an interval."""
        if now - self._peers_at < SHARES_INTERVAL_S:
            return
        self._peers_at = now
        inactive = self._count_inactive()
        if not inactive:
            self._active_at = now
            if self._inactive:
                self._informed_at = now
        # A VM that became inactive still has callers for a while, and the others send
        # it their reports as long as it sends its own.
        self._inactive = inactive if now - self._active_at > self._hold_s else 0
        region_vms = self._count_vms()
        count = max(sum(region_vms.values()), 1)
        if count >= self._vms or now - self._vms_at > self._hold_s:
            self._vms, self._vms_at = count, now
            self._region_vms = region_vms
        per_region = self._vms / self._regions
        self.contact_interval_s = max(
            CONTACT_INTERVAL_S, CONTACT_INTERVAL_PER_VM_S * per_region
        )
        self._silent_s = MAX_MISSED_INTERVALS * self.contact_interval_s
        self._silent_vms = weight = 0.0
        self._heard_times, silent = [], []
        # Sums of weights by time, for a look-up by time.
        for (is_region, name), heard_at in sorted(
            self._heard.items(), key=operator.itemgetter(1)
        ):
            size = max(self._region_vms.get(name, 1), 1) if is_region else 1
            if now - heard_at > self._silent_s:
                # Its part is set aside, so it need not know what others use.
                self._silent_vms += size
                silent.append((is_region, name))
                continue
            weight += size
            self._heard_times.append((heard_at, weight))
        # VMs that left the list are missed and not counted any more.
        self._silent_vms = min(self._silent_vms, self._vms - 1.0)
        self._silent_sources = frozenset(silent)

    def _compute_share(self, state, now):
        """Return the part of the level that this VM may use before others know."""
        equal = EQUAL_SHARE * state.rate / self._vms
        demand = state.settled[1]
        total = state.others_demand + demand + equal * self._vms
        share = (demand + equal) / total
        if self._silent_sources and not self._heard_times:
            return 1.0
        if state.silent_share:
            # What is set aside for silent VMs is not in the level.
            share = min(share / (1 - state.silent_share), 1.0)
        if self._inactive:
            return min(share, UNSURE_SHARE / self._inactive)
        if not self._heard and now - self.started_at < DISCOVERY_S:
            return min(share, UNSURE_SHARE)
        return share

    def _compute_kept(self, state, priority):
        """Return the part of the level that a request leaves to more urgent ones."""
        if not self._has_ranks or priority <= self._urgent_priority:
            return 0.0
        # After a start the level is far below the highest one for seconds.
        level = state.cap if state.sure else max(state.level, 0.0)
        return URGENT_LEVEL_SHARE * level

    def _may_wait(self, state, kept):
        """Return whether a request that is not admitted now may be shortly."""
        if state.exceeded or self._inactive:
            return False
        if not state.sure:
            # Others answer with the level; without any, nothing changes in the wait.
            return state.waiting < state.cap and self._vms > 1
        return state.waiting + 1 <= state.level - kept

    def _mark_urgent(self, state):
        self._urgent.add(state.key)
        self.on_urgent()

    def _count(self, state):
        state.admitted += 1
        state.in_region += 1
        self._to_report.add(state.key)
        self._to_sum.add(state.key)
        self._lower(state, 1)

    def _lower(self, state, count):
        state.level = max(state.level - count, self._compute_lowest(state))

    def _compute_lowest(self, state):
        # Further attempts and bad reports could lower the level without bound.
        return -2 * state.cap

    def _refuse(self, state, now):
        """Count a refusal and return the time at which the caller may return."""
        self.refusals += 1
        state.refused_at = now
        if not state.exceeded:
            self._record_change(state, "allowance_exceeded", True, now)
        if self._inactive:
            return INACTIVE_RETRY_AFTER_S
        interval_s = 1 / (state.rate * state.share)
        delay_s = max((1 - state.level) / state.rate, (1 - state.credit) * interval_s)
        return_at = max(now + delay_s, state.return_at + interval_s)
        state.return_at = min(return_at, now + MAX_RETRY_AFTER_S)
        return max(round(state.return_at - now, 3), MIN_RETRY_AFTER_S)

    def _check_met(self, state, now):
        quiet = now - state.refused_at > LOG_INTERVAL_S
        if state.exceeded and quiet and state.level >= state.cap / 2:
            self._record_change(state, "allowance_met", False, now)

    def _record_change(self, state, event, exceeded, now):
        state.exceeded = exceeded
        if exceeded and now - state.logged_at < LOG_INTERVAL_S:
            return
        state.logged_at = now if exceeded else state.logged_at
        self._record_event(
            event,
            account=f"{state.key:016x}",
            level=round(state.level, 1),
            rate_limit=state.rate,
            demand=round(state.demand + state.others_demand, 1),
        )

    def _estimate_first(self, state, use, counting_s, now):
        """Return how many requests of a source's first report the level lacks."""
        if counting_s < now - self.started_at:
            return use.admitted
        demand = clamp_number(use.demand, 0.0, MAX_DEMAND)
        return min(use.admitted, math.ceil(demand * DEMAND_TIME_S))

    def _is_due(self, state, now, urgent_only):
        changed = state.admitted - state.reported
        pool = max(state.level, 1.0) * state.share
        rise = state.demand - state.reported_demand
        if changed > pool / 2 or (state.waiting and rise > 0.5 / DEMAND_TIME_S):
            return True
        if urgent_only:
            return False
        least = max(1.0, self._compute_unreported(state) / self._vms)
        # After a burst, the demand that is gone must not hold a share for long.
        if changed >= least or -rise > max(state.demand, state.rate):
            return True
        old = now - state.reported_at > 1.0
        if not state.sure:
            return old
        return old and (changed > 0 or abs(rise) > max(0.02 * state.rate, 0.1))

    def _is_sum_due(self, state, changed, demand, now, interval_s):
        least = max(1.0, self._compute_unreported(state) / self._regions)
        if changed > 5 * least:
            return True
        age_s = now - state.region_reported_at
        if age_s < interval_s:
            return False
        difference = abs(demand - state.region_reported_demand)
        if state.level < state.cap / 2:
            return changed > 0 or difference > MIN_DEMAND
        # Far below the allowance others need not know all.
        least = max(least, FAR_BELOW_SHARE * state.level / self._regions)
        is_old = age_s > FAR_BELOW_INTERVAL_S
        return changed >= least or difference > state.rate or (changed and is_old)

    def _compute_unreported(self, state):
        return UNREPORTED_SHARE * (state.cap - self._limits[state.key][1])

    def _make_use(self, state):
        level = state.level if state.sure else math.nan
        return AccountUse(state.key, state.admitted, state.demand, level)

    def _sum_region_demand(self, state, now):
        demand = state.demand * math.exp(-(now - state.updated_at) / DEMAND_TIME_S)
        return demand + sum(
            decay_demand(entry.demand, now - entry.heard_at)
            for (is_region, _), entry in state.entries.items()
            if not is_region
        )
