//! Every decision of the dispatcher (its interface: `courier/policy/src/interface.rs`); nothing is decided elsewhere.
//! One mechanism decides the ordinary call: per lane (a destination, or a route where routes are separate) a
//! smoothed latency CAL and a window w, after Gulati and Ahmad; DEPARTURE marks what departs (docs/design.md)

use crate::breaks::{self, Break};
use crate::interface::*;
use quillmount_containers::{AgeGroups, LatencyEstimate, TimerQueue, breakpoints, random_unit, remove_timed};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

mod state;
mod visit;

use state::*;

const SECOND: Micros = 1_000_000;
const NEVER: Micros = Micros::MAX;

// ---- The window (unitless unless said). ----
/// Weight of the past in CAL: the design's value, smooths over about three calls.
const LATENCY_SMOOTHING: f64 = 0.7;
/// Step of one window update: small, since the threshold lies far above the usual latency.
const WINDOW_STEP: f64 = 0.02;
/// Constant growth, calls: small, since one call in flight may already be over a limit.
const WINDOW_GROWTH: f64 = 0.1;
/// Threshold over the baseline. Service times spread widely even without a queue: where they are exponential,
/// the fastest tenth beat a tenth of the mean, and CAL, over three calls, spreads by two fifths of it.
const LATENCY_THRESHOLD: f64 = 16.0;
/// Floor of CAL and of a baseline, microseconds: the design's millisecond.
const LATENCY_FLOOR: f64 = 1_000.0;
/// The baseline looks back this far, microseconds: the design's minute.
const BASELINE_SPAN: Micros = 60 * SECOND;
/// What a refusal as full, or a repeated failure, leaves of the window: the design's half.
const WINDOW_SHRINK: f64 = 0.5;
/// Refusals this soon after a shrink tell of the same used-up span, microseconds.
const SHRINK_INTERVAL: Micros = SECOND;
/// First and longest pause after refusals or failures in a row, microseconds, and its growth.
const BACKOFF_FIRST: f64 = 0.4 * 1e6;
const BACKOFF_MAX: f64 = 1.5 * 1e6;
const BACKOFF_GROWTH: f64 = 1.5;
/// Longest pause of a lane with a window below one, microseconds: about a limit's fixed span.
const PACE_INTERVAL_MAX: f64 = 2.0 * 1e6;
/// Least window of a lane that keeps to its part: a rate told half too high, of a limit cut to a fifth.
const PACED_WINDOW_MIN: f64 = 0.125;

// ---- Outages. ----
/// Failures in a row that make an outage: errors seldom come in pairs. Two time-outs already bind the guard.
const OUTAGE_FAILURES: u32 = 3;
/// Errors among the last eight calls that tell of a place that fails a part of them: only the guard binds.
/// In the background one call in a hundred fails.
const GUARD_ERRORS: u32 = 3;
/// Refusals for so long (microseconds), or a longer wait told, make one too (shut): a limit's span is two
/// seconds at most.
const OUTAGE_REFUSAL_SPAN: Micros = 5 * SECOND / 2;
/// A rest over the time for which the lane has failed, the time that the call took to fail (slow ones
/// tell of an outage), and at first the sender's gap. Its spread: a clump's messages fail together.
const FAILED_TIME_FACTOR: f64 = 2.0;
const SLOW_FAILURE_FACTOR: f64 = 6.0;
const FIRST_REST_SHARE: f64 = 0.1;
const REST_JITTER: f64 = 0.8;
/// The guard's part of what brings a destination down, and how much too high a rough weight may be.
const GUARD_SHARE: f64 = 2.0 / 3.0;
const WEIGHT_ERROR: f64 = 1.5;
/// Turns leave this part of a span between spans; each begins within half of that.
const TURN_GAP_DIVISOR: Micros = 16;
/// Parts of a round, which has a multiple of this many turns; and parts of what each of them adds.
const ROUND_PARTS: u64 = 4;
/// The least rate, calls a second, that all senders may count on: shuts nobody out for good.
const MIN_RATE: f64 = 0.01;
/// Less than this of an allowance left, as reported late: calls were taken a moment ago.
const ALLOWANCE_USED_UP: f64 = 0.75;
/// Calls that may go out ahead of their gap.
const CALLS_AHEAD: f64 = 1.0;
/// What each further message adds to a call's weight under the guard.
const EXTRA_MESSAGE_WEIGHT: f64 = 0.25;
/// Spread of pauses, so that senders do not fall into step.
const JITTER: f64 = 0.2;

// ---- Time-outs, microseconds or multiples of CAL. ----
const TIMEOUT_LATENCIES: f64 = 8.0;
/// The least, as a part of the shortest time for which a key is remembered: leaves time to call again.
const MIN_TIMEOUT_SHARE: f64 = 2.0 / 3.0;
/// The same for a trial in an outage: it is to find the end of it.
const TRIAL_TIMEOUT_MIN: f64 = 1.0 * 1e6;
/// Time-outs in a row double the next one's patience, this many times at most.
const TIMEOUT_DOUBLINGS: u32 = 2;
/// An unsafe message's time-out is its end: it has this many times the patience of others.
const NON_IDEMPOTENT_TIMEOUT_FACTOR: f64 = 2.0;
/// Bounds on a call's age when it gives up its slot, slots being short, microseconds: hung calls fill all.
const RECLAIM_AGE_MIN: f64 = 0.3 * 1e6;
const RECLAIM_AGE_MAX: f64 = 4.0 * 1e6;
/// Kept clear of the end of a key's memory, microseconds: covers the trip there.
const KEY_MEMORY_MARGIN: Micros = 100_000;

// ---- Which endpoint: costs in calls in flight. ----
/// A new connection, a zone crossed.
const NEW_CONNECTION_COST: f64 = 0.5;
const ZONE_CROSSING_COST: f64 = 0.75;
/// A connect that fails within this met a full table, not a place that is down, microseconds.
const QUICK_CONNECT_FAILURE: Micros = SECOND / 2;
/// Two such connects within this, at two destinations or with an answer between, tell of full tables, us.
const CONNECT_REFUSAL_SPAN: Micros = 10 * SECOND;
/// How long after that connections are taken to be scarce there, microseconds.
const CONNECTIONS_SCARCE_SPAN: Micros = 10 * SECOND;

// ---- Which message next. ----
/// How far ahead the loss by waiting is looked for, microseconds.
const HORIZON: Micros = 2 * SECOND;
/// Weight of a message's present worth against what waiting would lose.
const PRESENT_VALUE_WEIGHT: f64 = 0.25;
/// Seconds of a tenant's share that may come at once and still be inside it.
const TENANT_BURST: f64 = 2.0;
/// Part of the holding limit at which shedding starts, and tenths of a message's time that make it early.
const SHED_THRESHOLD: f64 = 0.9;
const EARLY_TENTHS: Micros = 7;
/// Answer this long before the time is up, microseconds, but a fiftieth of it at most, and no later than the
/// least: a notice that is not confirmed is sent again after 0.3 s, and would come too late by then.
const EXPIRY_LEAD_MAX: Micros = 150_000;
const EXPIRY_LEAD_MIN: Micros = 10_000;
/// Pauses between calls to a list service that failed, microseconds.
const RESUBSCRIBE_FIRST: Micros = SECOND / 2;
const RESUBSCRIBE_MAX: Micros = 4 * SECOND;

/// A message with its merit, and where it goes with that endpoint's rank.
type Candidate = (f64, MsgId, EndpointId, f64);

#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[rustfmt::skip]
pub struct Dispatcher {
    #[serde(skip)] settings: Arc<Settings>, rng_state: u64, now: Micros,
    /// The least time-out.
    min_timeout: f64,
    messages: BTreeMap<MsgId, PendingMessage>, open_messages: u32,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestId, Destination>,
    /// Destinations with messages held; those to be looked at, and when time alone may let the others send.
    waiting_destinations: BTreeSet<DestId>, ready_destinations: BTreeSet<DestId>, blocked_destinations: TimerQueue,
    /// Lanes, with the numbers of those forgotten.
    lanes: Vec<Lane>, free_lanes: Vec<usize>,
    /// Calls out; each holds a slot.
    calls_in_flight: BTreeMap<CallNumber, CallInFlight>, next_call: CallNumber,
    /// The turn of each key, and until when the key rests.
    key_queues: BTreeMap<u64, (VecDeque<MsgId>, Micros)>,
    /// Messages left inside each tenant's share, and when that was counted.
    tenant_shares: Vec<(f64, Micros)>,
    /// When each open message is due if it has no turn to wait for, and the lanes where it may have one.
    message_expiries: TimerQueue, guarded_lanes: BTreeSet<usize>, next_position: u64,
    /// No message is due before.
    next_expiry_check: Micros,
    timer_at: Micros, last_connect_refusal: (DestId, Micros), resubscribe_at: Micros, resubscribe_delay: Micros, stop_at: Option<Micros>,
    #[serde(skip)] actions: Vec<DispatchAction>,
}

impl Dispatcher {
    /// A fresh instance. It knows nothing of an earlier life.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let spans = settings.classes.iter().filter_map(|c| match c.effect {
            Effect::Deduplicated { span, .. } => Some(span),
            _ => None,
        });
        let min_timeout = MIN_TIMEOUT_SHARE * spans.min().unwrap_or(5 * SECOND) as f64;
        let tenant_shares = settings.tenants.iter().map(|_| (f64::MAX, 0)).collect();
        let resubscribe_at = if settings.subscription_required { 0 } else { NEVER };
        let (settings, fresh) = (Arc::new(settings), Self::default());
        Ok(Dispatcher {
            settings,
            rng_state: seed,
            min_timeout,
            tenant_shares,
            timer_at: NEVER,
            resubscribe_at,
            resubscribe_delay: RESUBSCRIBE_FIRST,
            ..fresh
        })
    }

    /// Takes one batch of events that happened by `clock` and returns what to do, in order.
    pub fn step(&mut self, clock: Micros, events: &[DispatchEvent]) -> Vec<DispatchAction> {
        self.now = self.now.max(clock);
        self.timer_at = if self.timer_at <= self.now { NEVER } else { self.timer_at };
        for e in events {
            match e {
                DispatchEvent::List { kind, entries } => self.on_list(*kind, entries),
                DispatchEvent::Submit(m) => self.on_submit(m, None),
                DispatchEvent::Restore { message, past } => self.on_submit(message, Some(&past[..])),
                DispatchEvent::Stop { at } => self.stop_at = Some(*at),
                DispatchEvent::Completed(c) => self.on_completed(c),
                DispatchEvent::Written { msg, attempt } => self.on_written(*msg, *attempt),
                DispatchEvent::Hangup { msg } => self.finish(*msg),
                // Timers only wake; no probe or note is ever asked for, and no class streams.
                _ => {}
            }
        }
        if self.resubscribe_at <= self.now {
            self.actions.push(DispatchAction::Subscribe);
            self.resubscribe_at = NEVER;
        }
        let wake = self.resubscribe_at.min(self.expire_due()).min(self.dispatch());
        self.shed();
        if wake < self.timer_at {
            self.timer_at = wake.max(self.now + 1);
            self.actions.push(DispatchAction::Timer { after: self.timer_at - self.now, tag: 0 });
        }
        std::mem::take(&mut self.actions)
    }

    fn jitter(&mut self) -> f64 {
        1.0 + JITTER * (2.0 * random_unit(&mut self.rng_state) - 1.0)
    }

    // ---- The list. ----

    fn on_list(&mut self, kind: ListUpdate, entries: &[EndpointEntry]) {
        if kind == ListUpdate::Failed {
            if self.resubscribe_at == NEVER {
                self.resubscribe_at = self.now + (self.resubscribe_delay as f64 * self.jitter()) as Micros;
                self.resubscribe_delay = (self.resubscribe_delay * 2).min(RESUBSCRIBE_MAX);
            }
            return;
        }
        self.resubscribe_delay = RESUBSCRIBE_FIRST;
        self.endpoints.values_mut().for_each(|e| e.listed &= kind != ListUpdate::Full);
        for e in entries {
            let ready = e.state == EndpointState::Ready
                || (breaks::is_enabled(Break::IgnoreDrain) && e.state == EndpointState::Draining);
            let rate = if self.settings.weight_is_rate && e.weight.is_finite() { e.weight } else { 0.0 };
            if let Some(known) = self.endpoints.get_mut(&e.endpoint) {
                known.listed = ready && known.dest == e.dest;
                known.rate = if self.settings.weight_is_rate { rate } else { known.rate };
                continue;
            }
            if !ready {
                continue;
            }
            let tie_break = (self.jitter() - 1.0).abs();
            let dest = self.destinations.entry(e.dest).or_default();
            dest.kind = e.kind;
            let apart = self.settings.kinds.get(e.kind).is_some_and(|k| k.separate_routes);
            if apart || dest.lanes.is_empty() {
                let n = self.free_lanes.pop().unwrap_or(self.lanes.len());
                self.lanes.resize_with(self.lanes.len().max(n + 1), Lane::default);
                self.lanes[n] = Lane { dest: e.dest, ..Lane::new(self.settings.slots) };
                dest.lanes.push(n);
            }
            let lane = dest.lanes[dest.lanes.len() - 1];
            let (dest, zone, listed) = (e.dest, e.zone, ready);
            let fresh = Endpoint { dest, lane, zone, rate, listed, tie_break, ..Endpoint::default() };
            self.endpoints.insert(e.endpoint, fresh);
            self.lanes[lane].endpoints.push(e.endpoint);
        }
        // DEPARTURE: one that operators put back counts as back from an outage, though no failure was seen.
        let back = entries.iter().filter(|e| e.returning && e.state == EndpointState::Ready);
        back.for_each(|e| self.note_failure_seen(self.endpoints[&e.endpoint].lane, true));
        self.forget();
        self.ready_destinations.extend(&self.waiting_destinations);
    }

    /// Forgets endpoints gone with no call out, and their lanes a minute after the last call.
    fn forget(&mut self) {
        let (now, lanes, free_lanes) = (self.now, &mut self.lanes, &mut self.free_lanes);
        self.endpoints.retain(|_, e| {
            e.listed || e.calls > 0 || lanes[e.lane].keep_until.max(lanes[e.lane].wait_until) > now
        });
        self.destinations.retain(|_, d| {
            d.lanes.retain(|n| {
                let l = &mut lanes[*n];
                l.endpoints.retain(|e| self.endpoints.contains_key(e));
                let used = l.wait_until.max(l.keep_until).max(l.last_sent + BASELINE_SPAN) > now
                    || !l.endpoints.is_empty();
                free_lanes.extend((!used).then_some(*n));
                used
            });
            !d.lanes.is_empty() || !d.waiting.is_empty()
        });
    }

    // ---- The ledger. ----

    fn on_submit(&mut self, m: &Message, past: Option<&[PastAttempt]>) {
        let known = self.messages.contains_key(&m.id);
        let Some(class) = self.settings.classes.get(m.class).filter(|_| !known) else { return };
        let mut value = class.value;
        let rate = m.tenant.and_then(|t| self.settings.tenants.get(t).map(|r| (t, *r)));
        if let Some((t, rate)) = rate.filter(|(_, r)| *r > 0.0) {
            // A message beyond its tenant's share is worth little: count this sender's part.
            let part = rate / self.settings.sender_count.max(1) as f64;
            let (left, at) = self.tenant_shares[t];
            let left = (left + part * (self.now - at) as f64 / 1e6).min((part * TENANT_BURST).max(1.0));
            value *= if left < 1.0 { self.settings.above_share_value } else { 1.0 };
            self.tenant_shares[t] = (if left < 1.0 { left } else { left - 1.0 }, self.now);
        }
        let stretch = class.latency_target_stretch * m.work_hint.unwrap_or(0) as f64;
        let latency_target = (class.latency_target + stretch as Micros).min(class.deadline);
        let key = if class.keep_order { m.key } else { None };
        if let Some(k) = key {
            self.key_queues.entry(k).or_default().0.push_back(m.id);
        }
        let created_at = m.deadline.saturating_sub(class.deadline);
        let (class, received_at, deadline, dest) = (m.class, self.now, m.deadline, m.dest);
        let (restored, attempts) =
            (past.is_some(), past.into_iter().flatten().map(Attempt::from_past).collect());
        #[rustfmt::skip]
        let msg = PendingMessage { class, value, key, created_at, received_at, latency_target, deadline, dest, is_open: true, restored,
            stream: m.stream, size: m.size, attempts, position: 0 };
        self.open_messages += 1;
        self.messages.insert(m.id, msg);
        self.enqueue(m.id);
    }

    fn enqueue(&mut self, id: MsgId) {
        self.next_position += 1;
        self.messages.get_mut(&id).expect("the caller knows it").position = self.next_position;
        self.message_expiries.set(id, self.expiry(&self.messages[&id], 0));
        let (m, group) = (&self.messages[&id], self.value_group(&self.messages[&id]));
        let waiting = &mut self.destinations.entry(m.dest).or_default().waiting;
        let before = waiting.len() as u64;
        waiting.insert(group, (m.created_at, m.position, id));
        self.waiting_destinations.insert(m.dest);
        self.ready_destinations.insert(m.dest);
        self.next_expiry_check = self.next_expiry_check.min(self.expiry(m, self.expected_turn(m, before)));
    }

    fn dequeue(&mut self, id: MsgId) {
        let (m, group) = (&self.messages[&id], self.value_group(&self.messages[&id]));
        let Some(d) = self.destinations.get_mut(&m.dest) else { return };
        d.waiting.remove(&group, (m.created_at, m.position, id));
        if d.waiting.is_empty() {
            self.waiting_destinations.remove(&m.dest);
            self.blocked_destinations.remove(m.dest);
        }
    }

    fn value_group(&self, m: &PendingMessage) -> ValueGroup {
        let (class, value_bits, latency_target, stream) =
            (m.class, m.value.to_bits(), m.latency_target, m.stream);
        let (lifetime, zone, ordered) = (m.deadline - m.created_at, self.bound_zone(m), m.key.is_some());
        ValueGroup { class, value_bits, latency_target, lifetime, zone, stream, ordered }
    }

    /// The message has its final answer, or needs none.
    fn finish(&mut self, id: MsgId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        if m.is_open {
            m.is_open = false;
            self.open_messages -= 1;
            self.message_expiries.remove(id);
            self.dequeue(id);
        }
        let (m, now) = (&self.messages[&id], self.now);
        if m.is_in_flight() {
            return;
        }
        if let Some((turn, _)) = m.key.and_then(|k| self.key_queues.get_mut(&k)) {
            turn.retain(|x| *x != id);
            self.ready_destinations.extend(turn.front().and_then(|id| Some(self.messages.get(id)?.dest)));
            self.key_queues.retain(|_, (turn, rest)| !turn.is_empty() || *rest > now);
        }
        self.messages.remove(&id);
    }

    /// A refusal promises that trying again is harmless; only then may it be given.
    fn may_reject(&self, m: &PendingMessage) -> bool {
        let effect = self.settings.classes[m.class].effect;
        let free = matches!(effect, Effect::Idempotent | Effect::Deduplicated { by_zone: false, .. });
        free || m.first_possible_run().is_none() || breaks::is_enabled(Break::RefuseDebit)
    }

    fn end_unserved(&mut self, id: MsgId, after: Micros) {
        let (msg, may) = (id, self.may_reject(&self.messages[&id]));
        let after = if self.settings.retry_after { after.min(self.settings.max_retry_after) } else { 0 };
        self.actions.push(if may {
            DispatchAction::Reject { msg, after }
        } else {
            DispatchAction::Fail { msg }
        });
        self.finish(id);
    }

    /// Whether the ledger allows another attempt at all; which endpoints: `bound_zone`.
    fn may_send(&self, m: &PendingMessage) -> bool {
        if m.attempts.len() as u32
            >= self.settings.max_attempts + breaks::is_enabled(Break::AttemptTooMany) as u32
        {
            return false;
        }
        let Some(first) = m.first_possible_run() else { return true };
        match self.settings.classes[m.class].effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { span, .. } if breaks::is_enabled(Break::RetryAtSpanEnd) => {
                self.now <= first.sent + span + 1
            }
            Effect::Deduplicated { span, .. } => self.now + KEY_MEMORY_MARGIN <= first.sent + span,
            Effect::NonIdempotent => false,
        }
    }

    /// The zone that remembers the key: an endpoint elsewhere would not drop the repeat.
    fn bound_zone(&self, m: &PendingMessage) -> Option<u32> {
        let by_zone =
            matches!(self.settings.classes[m.class].effect, Effect::Deduplicated { by_zone: true, .. });
        m.first_possible_run().filter(|_| by_zone).map(|first| first.zone)
    }

    /// Order by key: only the head goes, and a rest binds whoever has not been sent yet.
    fn is_next_of_key(&self, id: MsgId, m: &PendingMessage, wake: &mut Micros) -> bool {
        let Some((turn, rest)) = m.key.and_then(|k| self.key_queues.get(&k)) else { return true };
        let rests = m.attempts.is_empty() && *rest > self.now;
        if rests {
            *wake = (*wake).min(*rest);
        }
        turn.front() == Some(&id) && !rests
    }

    /// When a message is to be ended if nothing changes; it may go at `hope`, or without a turn (0).
    fn expiry(&self, m: &PendingMessage, hope: Micros) -> Micros {
        if m.is_in_flight() {
            return m.deadline;
        }
        let early = (m.deadline.saturating_sub(m.received_at) / 50).clamp(EXPIRY_LEAD_MIN, EXPIRY_LEAD_MAX);
        let last = m.deadline.saturating_sub(early);
        let last = if breaks::is_enabled(Break::AnswerLate) { m.deadline + 400_000 } else { last };
        // A turn too late is none: others may know nothing. One missed, look again.
        let last = match hope {
            turn if turn == 0 || m.restored && m.attempts.is_empty() => last,
            turn if turn < last => last.min(turn + self.settings.overload_span / TURN_GAP_DIVISOR),
            _ => self.now,
        };
        match (self.settings.classes[m.class].effect, m.first_possible_run()) {
            _ if !self.may_send(m) => self.now,
            (Effect::Deduplicated { span, .. }, Some(first)) if breaks::is_enabled(Break::RetryAtSpanEnd) => {
                last.min(first.sent + span + 2)
            }
            (Effect::Deduplicated { span, .. }, Some(first)) => {
                last.min((first.sent + span + 1).saturating_sub(KEY_MEMORY_MARGIN))
            }
            _ => last,
        }
    }

    /// When a held message may go, behind so many, in crowds (a turn may lift the guard); else 0.
    fn expected_turn(&self, m: &PendingMessage, before: u64) -> Micros {
        let Some(d) = self.destinations.get(&m.dest) else { return 0 };
        let after = |n: usize| self.turn_cycle(n).saturating_mul(before).min(self.settings.slow_start);
        let turn =
            |n: usize| self.next_turn(n, self.lanes[n].wait_until).filter(|_| self.is_sparsely_served(n));
        let hope =
            |n: &usize| turn(*n).map_or(0, |t| t.saturating_add(after(*n)).min(self.lanes[*n].guard_until));
        d.lanes.iter().map(hope).min().unwrap_or(0)
    }

    /// Ends messages whose time is up or that may not be sent again.
    fn expire_due(&mut self) -> Micros {
        if self.next_expiry_check <= self.now {
            let mut expired: BTreeSet<_> = self.message_expiries.due_by(self.now).collect();
            expired
                .extend(self.expiries_awaiting_turn().filter(|(due, _)| *due <= self.now).map(|(_, id)| id));
            expired.into_iter().for_each(|id| self.end_unserved(id, NEVER));
            self.guarded_lanes.retain(|n| self.now < self.lanes[*n].guard_until);
            self.next_expiry_check = self
                .expiries_awaiting_turn()
                .map(|t| t.0)
                .fold(self.message_expiries.next_due().unwrap_or(NEVER), Micros::min);
        }
        self.next_expiry_check
    }

    /// When those are due that may have to wait for a turn.
    fn expiries_awaiting_turn(&self) -> impl Iterator<Item = (Micros, MsgId)> {
        let lanes = self.guarded_lanes.iter().filter(|n| self.next_turn(**n, 0).is_some());
        let destinations: BTreeSet<DestId> = lanes.map(|n| self.lanes[*n].dest).collect();
        let waiting = destinations
            .into_iter()
            .filter_map(|d| self.destinations.get(&d))
            .flat_map(|d| d.waiting.iter().zip(0..));
        waiting.map(|(id, before)| {
            (self.expiry(&self.messages[&id], self.expected_turn(&self.messages[&id], before)), id)
        })
    }

    /// Turns away before a full buffer does: first what is new or has had most of its time, by worth.
    fn shed(&mut self) {
        let limit = (self.settings.max_open_messages as f64 * SHED_THRESHOLD) as u32;
        while self.open_messages > limit.max(1) {
            let then = self.now + HORIZON;
            let group = self.waiting_destinations.iter().flat_map(|d| self.destinations[d].waiting.groups());
            let ends =
                group.flat_map(|(group, age_set)| age_set.candidates(then, || self.breakpoints(group, 0)));
            let may = ends.map(|id| (id, &self.messages[&id])).filter(|(_, m)| self.may_reject(m));
            let late = |m: &PendingMessage| {
                m.received_at + m.deadline.saturating_sub(m.received_at) / 10 * EARLY_TENTHS
            };
            let early = |m: &PendingMessage| (m.received_at + 1..late(m)).contains(&self.now);
            let worst = may.map(|(id, m)| (early(m), self.value_at(m, then), id));
            let worst = worst.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
            let Some((.., id)) = worst else { return };
            self.end_unserved(id, 2 * SECOND);
        }
    }

    fn value_at(&self, m: &PendingMessage, at: Micros) -> f64 {
        let c = &self.settings.classes[m.class];
        let late = at.saturating_sub(m.created_at + m.latency_target) as f64;
        let span = (m.deadline.saturating_sub(m.created_at + m.latency_target)).max(1) as f64;
        match self.settings.decay {
            _ if late <= 0.0 => m.value,
            _ if at >= m.deadline => 0.0,
            Decay::Linear => m.value * (1.0 - (1.0 - c.late_value) * late / span),
            Decay::Halving => m.value * 0.5f64.powf(late / m.latency_target.max(1) as f64).max(c.late_value),
        }
    }

    /// The ages between which the worth of such messages, and their loss by waiting, change steadily.
    fn breakpoints(&self, group: &ValueGroup, ahead: Micros) -> Vec<Micros> {
        let c = &self.settings.classes[group.class];
        let floor = group.latency_target as f64 * (1.0 - c.late_value.max(f64::MIN_POSITIVE).log2());
        breakpoints(&[group.latency_target, floor as Micros, group.lifetime], ahead)
    }

    // ---- Outcomes. ----

    /// DEPARTURE: a stream's latency counts from its last byte, and until then it holds a slot but no part of
    /// the window. Counted from the first, a slow consumer's line would be learnt as its latency.
    fn on_written(&mut self, id: MsgId, attempt: u32) {
        let a = self.messages.get_mut(&id).and_then(|m| m.attempts.get_mut(attempt as usize));
        let Some(a) = a.filter(|a| a.streams_body && a.execution == Execution::InFlight) else { return };
        (a.streams_body, a.latency_from) = (false, self.now);
        self.lanes[a.lane].open_streams -= 1;
        self.lanes[a.lane].in_flight.push_back((a.call, self.now));
        self.ready_destinations.extend(&self.waiting_destinations);
    }

    fn on_completed(&mut self, c: &Completion) {
        let now = self.now;
        let Some(m) = self.messages.get_mut(&c.msg) else { return };
        let Some(a) = m.attempts.get_mut(c.attempt as usize).filter(|a| a.execution == Execution::InFlight)
        else {
            return;
        };
        let never = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot].contains(&c.outcome)
            || (breaks::is_enabled(Break::RetryAfterReset) && c.outcome == Outcome::Reset)
            || (breaks::is_enabled(Break::RetryAfterGiveUp) && c.outcome == Outcome::Cancelled);
        a.execution = if never { Execution::NeverRan } else { Execution::MayHaveRun };
        let (endpoint, lane, call, sent, reused_connection, streaming) =
            (a.endpoint, a.lane, a.call, a.latency_from, a.reused_connection, a.streams_body);
        if let (Some(k), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (m.key, c.outcome) {
            let rest = &mut self.key_queues.entry(k).or_default().1;
            *rest = (*rest).max(now + self.settings.key_cooldown);
        }
        // Messages of one call share its fate, learnt with the last one's; that one timed out, at once.
        let out = self.calls_in_flight.get_mut(&call).expect("an attempt that is out has its call");
        out.pending.retain(|m| *m != c.msg);
        let (last, late) = (out.pending.is_empty(), c.outcome == Outcome::Timeout);
        let first_result = if late { !std::mem::replace(&mut out.timed_out, true) } else { last };
        let past =
            sent < self.lanes[lane].last_success_sent && !matches!(c.outcome, Outcome::Ok | Outcome::Full);
        let reported = if breaks::is_enabled(Break::IgnoreWait) { 0 } else { c.wait };
        self.lanes[lane].wait_until = self.lanes[lane].wait_until.max(now + reported);
        if last {
            self.calls_in_flight.remove(&call);
            let l = &mut self.lanes[lane];
            l.trial_call = l.trial_call.filter(|n| *n != call);
            remove_timed(&mut l.in_flight, call, sent);
            l.open_streams -= streaming as u32;
            self.ready_destinations.insert(l.dest);
            self.ready_destinations.extend(self.waiting_destinations.iter().filter(|_| streaming));
            self.endpoints.get_mut(&endpoint).expect("an attempt's endpoint is known").calls -= 1;
            self.update_connections(endpoint, c, reused_connection);
        }
        // What was sent before a call that succeeded, or a consumer broke off, tells of that, or of nothing.
        if past || !first_result || (streaming && c.outcome == Outcome::Cancelled) {
        } else if reused_connection && c.outcome == Outcome::Reset {
            // It tells nothing of the destination's health; but the rule counts it as a failure seen.
            self.note_failure_seen(lane, false);
        } else {
            self.update_health(endpoint, c, sent, streaming);
        }
        if c.finished || !self.messages[&c.msg].is_open {
            self.finish(c.msg);
        } else {
            self.enqueue(c.msg);
        }
    }

    /// Closes what is idle where a connect failed quickly or an idle connection was reset: a place that went
    /// down took all of them along. One that refuses connections, yet answers on those it has, holds as many
    /// as it can: there each is closed after its call for a while. A report tells a rate.
    fn update_connections(&mut self, id: EndpointId, c: &Completion, reused_connection: bool) {
        let (now, o, sparsely_served) =
            (self.now, c.outcome, self.is_sparsely_served(self.endpoints[&id].lane));
        let (mut all, mut full_until) = (id..=id, 0);
        let e = self.endpoints.get_mut(&id).expect("the caller knows the endpoint");
        let reported = self
            .settings
            .limit_report
            .filter(|_| !self.settings.weight_is_rate)
            .and_then(|l| c.report.get(l.1));
        e.rate = reported.copied().filter(|r| *r > 0.0).unwrap_or(e.rate);
        if matches!(o, Outcome::Ok | Outcome::Error | Outcome::Full) {
            e.idle_since.push(now);
            e.last_answer = now;
            let wanted = self.destinations.get(&e.dest).is_some_and(|d| !d.waiting.is_empty());
            if wanted || now >= e.full_until {
                return;
            }
        } else if o == Outcome::ConnectFailed && c.elapsed < QUICK_CONNECT_FAILURE {
            let two = sparsely_served
                && e.dest != self.last_connect_refusal.0
                && now < self.last_connect_refusal.1 + CONNECT_REFUSAL_SPAN;
            let full = two || e.last_answer > e.last_refusal && now < e.last_refusal + CONNECT_REFUSAL_SPAN;
            (e.last_refusal, self.last_connect_refusal) = (now, (e.dest, now));
            (all, full_until) = (
                if two { 0..=EndpointId::MAX } else { all },
                if full { now + CONNECTIONS_SCARCE_SPAN } else { 0 },
            );
        } else if o != Outcome::Reset || !reused_connection {
            return;
        }
        for (id, e) in self.endpoints.range_mut(all) {
            e.full_until = e.full_until.max(full_until);
            if !std::mem::take(&mut e.idle_since).is_empty() {
                self.actions.push(DispatchAction::CloseIdle { endpoint: *id });
            }
        }
    }

    /// Updates a lane's window and health, and the endpoint's, by one call's fate.
    fn update_health(&mut self, id: EndpointId, c: &Completion, sent: Micros, streaming: bool) {
        let (now, jitter, elapsed) = (self.now, self.jitter(), c.elapsed as f64);
        let lane = self.endpoints[&id].lane;
        let (sparsely_served, gap, part) =
            (self.is_sparsely_served(lane), self.turn_cycle(lane) as f64, self.paced_interval(lane, true));
        let turns = !sparsely_served && gap > self.settings.overload_span as f64;
        let reported = |n: usize| c.report.get(n).copied().unwrap_or(1.0);
        let limit = |(left, rate)| {
            c.outcome == Outcome::Full && reported(rate) > 0.0 && reported(left) < ALLOWANCE_USED_UP
        };
        let limit = self.settings.limit_report.is_some_and(limit);
        let l = &mut self.lanes[lane];
        // Only calls long overdue are called off, so that is what it tells.
        let o = if c.outcome == Outcome::Cancelled { Outcome::Timeout } else { c.outcome };
        if o == Outcome::Moot {
            return;
        }
        if (o == Outcome::Ok || o == Outcome::Timeout) && !streaming {
            l.add_latency_sample(now, elapsed);
        }
        l.recent_failures = (l.recent_failures << 1) | (o != Outcome::Ok) as u8;
        l.recent_errors = (l.recent_errors << 1) | (o == Outcome::Error) as u8;
        l.timeouts_in_row = if o == Outcome::Timeout { l.timeouts_in_row + 1 } else { 0 };
        match o {
            Outcome::Ok => {
                let elapsed =
                    if streaming && l.answered_latency > 0.0 { l.answered_latency } else { elapsed };
                let old = if l.answered_latency > 0.0 { l.answered_latency } else { elapsed };
                l.answered_latency = old + (1.0 - LATENCY_SMOOTHING) * (elapsed - old);
                l.last_success_sent = l.last_success_sent.max(sent);
                (l.failures_in_row, l.refusals_in_row, l.first_failure_sent) = (0, 0, NEVER);
                if sent > l.last_failure_seen {
                    if l.in_outage {
                        (l.in_outage, l.window) = (false, l.window.max(1.0));
                        self.actions.push(DispatchAction::Log(format!("endpoint {id}: answers again")));
                    }
                    l.guard_until = l.guard_until.min(
                        now + self.settings.slow_start + if turns { self.settings.overload_span } else { 0 },
                    );
                }
            }
            Outcome::Full => l.refusals_in_row += 1,
            _ => l.failures_in_row += 1,
        }
        if o != Outcome::Ok {
            // DEPARTURE: a used-up span, a shut or a dead place is asked again after a growing pause; one
            // failure among successes is not. Harmful where one call in many is refused at random.
            let n = l.failures_in_row + l.refusals_in_row;
            let repeated = l.refusals_in_row > 0 || n > 1;
            let pause = if repeated { backoff(n - 1, jitter) } else { 0 };
            // Once a span, and once for calls that were out together: what they tell is one thing.
            if repeated && sent >= l.last_shrink && now >= l.last_shrink + SHRINK_INTERVAL {
                (l.window, l.last_shrink) = (l.window * WINDOW_SHRINK, now);
            }
            l.first_failure_sent = l.first_failure_sent.min(sent);
            // DEPARTURE: where each call tells little and many hold messages, rest in step with the time it
            // has failed. Guards also a limit that refused calls use up; it makes late what was held.
            let spread = 1.0 + REST_JITTER * (jitter - 1.0) / JITTER;
            let first = (gap * FIRST_REST_SHARE)
                .min(self.settings.slow_start as f64 / 2.0)
                .max(elapsed * SLOW_FAILURE_FACTOR);
            let rest = first.max((now - l.first_failure_sent) as f64 * FAILED_TIME_FACTOR) * spread;
            let part = part.filter(|_| o == Outcome::Full);
            let rests = repeated
                && gap > 2.0 * self.settings.overload_span as f64
                && (limit || !sparsely_served)
                && part.is_none();
            let rest = if rests { rest.min(gap) as Micros } else { 0 };
            l.wait_until = l.wait_until.max(now + pause.max(rest));
            if let Some(part) = part {
                // Nothing is saved up any more: the next goes a whole gap later, each sender at its own time.
                l.paced_at = l
                    .paced_at
                    .max(now + (part / l.window.max(PACED_WINDOW_MIN) * (CALLS_AHEAD + spread)) as Micros);
            }
        }
        let most = l.recent_failures.count_ones() >= 6 && l.failures_in_row > 0;
        let long = l.refusals_in_row > 1 && now >= l.first_failure_sent.saturating_add(OUTAGE_REFUSAL_SPAN);
        let shut = !limit && (long || o == Outcome::Full && c.wait > OUTAGE_REFUSAL_SPAN);
        let out = !l.in_outage && (l.failures_in_row >= OUTAGE_FAILURES || shut || most);
        if out {
            l.in_outage = true;
            self.actions.push(DispatchAction::Log(format!("endpoint {id}: outage, last outcome {o:?}")));
        }
        // The cap, half while most recent calls fail; the longest pause sets the floor.
        let top = if l.recent_failures.count_ones() > 4 {
            window_cap(self.settings.slots) / 2
        } else {
            window_cap(self.settings.slots)
        };
        let cal = l.latency.smoothed.unwrap_or(LATENCY_FLOOR);
        let least = if part.is_some() { PACED_WINDOW_MIN } else { (cal / PACE_INTERVAL_MAX).min(1.0) };
        l.window = l.window.clamp(least, top.max(1) as f64);
        let limit = limit || (o == Outcome::Full && !l.in_outage && !sparsely_served);
        let most = o == Outcome::Error && l.recent_errors.count_ones() >= GUARD_ERRORS;
        if out || (o != Outcome::Ok && !limit) {
            self.note_failure_seen(lane, out || most || self.lanes[lane].timeouts_in_row > 1);
        }
    }

    // ---- When a lane may take a call. ----

    // DEPARTURE, the guard of a returning destination: all siblings keep to S, by turns where a part is rare,
    // from a crowd's first failure or the outage on, until a later success is `cold` old (docs/design.md).

    /// The sender has seen a failure: in a crowd or an outage the guard binds from now on.
    fn note_failure_seen(&mut self, lane: usize, out: bool) {
        let binds = out || self.is_sparsely_served(lane) || self.now < self.lanes[lane].guard_until;
        let (keep, l) = (self.now.saturating_add(self.turn_cycle(lane)), &mut self.lanes[lane]);
        (l.guard_until, l.keep_until) = if binds { (NEVER, keep) } else { (0, 0) };
        (l.last_failure_seen, self.next_expiry_check) = (self.now, self.now);
        self.guarded_lanes.extend(binds.then_some(lane));
    }

    /// What the settings allow in a span, B, at this share of the capacity.
    fn calls_allowed(&self, lane: usize, share: f64) -> f64 {
        let rate = self.listed_rate(lane).unwrap_or(1.0)
            / if self.settings.weight_is_approximate { WEIGHT_ERROR } else { 1.0 };
        (self.settings.overload_multiple * share * rate).max(MIN_RATE) * self.settings.overload_span as f64
            / 1e6
    }

    /// S of the guard: more than B + 2 root B + 2 calls bring it down.
    fn guard_budget(&self, lane: usize, share: f64) -> f64 {
        let b = self.calls_allowed(lane, share);
        GUARD_SHARE * (b + 2.0 * b.sqrt() + 2.0)
    }

    /// S at the share of its capacity surely had a span ago, less how late senders are in the mean: each sees
    /// a return by its next call, half the time between two late. In crowds few calls tell of more.
    fn slow_start_budget(&self, lane: usize) -> f64 {
        let (cold, guard) =
            (self.guard_budget(lane, self.settings.slow_start_share), self.lanes[lane].guard_until);
        let late = ((f64::from(self.settings.sender_count) - 1.0) / cold.floor()).min(1.0) / 2.0;
        let ago = if self.turn_cycle(lane) > self.settings.overload_span { 0.0 } else { 1.0 } - late;
        let left = guard.saturating_sub(self.now) as f64 + self.settings.overload_span as f64 * ago;
        let warm = if self.is_sparsely_served(lane) {
            0.0
        } else {
            1.0 - left / self.settings.slow_start.max(1) as f64
        };
        self.guard_budget(
            lane,
            self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * warm.clamp(0.0, 1.0),
        )
    }

    /// Time between two turns of one sender at the cold share.
    fn turn_cycle(&self, lane: usize) -> Micros {
        let span = (self.settings.overload_span + self.settings.overload_span / TURN_GAP_DIVISOR) as f64;
        let slot =
            (span / self.guard_budget(lane, self.settings.slow_start_share).floor()).max(1.0) as Micros;
        slot.saturating_mul(u64::from(self.settings.sender_count.max(1)).next_multiple_of(ROUND_PARTS))
            .min(NEVER / 32)
    }

    /// A part of two thirds of B is rarer than a call in twice the cold time: hardly three failures are seen.
    fn is_sparsely_served(&self, lane: usize) -> bool {
        let b = GUARD_SHARE * self.calls_allowed(lane, self.settings.slow_start_share);
        self.settings.sender_count as f64 * self.settings.overload_span as f64
            > b * 2.0 * self.settings.slow_start as f64
    }

    /// This sender's turn under the guard where its part is no whole call: now, the next, or when it lifts.
    /// As S grows, ever more quarters of rounds hold one, as evenly over all senders as the first does.
    fn next_turn(&self, lane: usize, from: Micros) -> Option<Micros> {
        let (l, from, round, s) =
            (&self.lanes[lane], from.max(self.now), self.turn_cycle(lane), self.slow_start_budget(lane));
        let all = u64::from(self.settings.sender_count.max(1)).next_multiple_of(ROUND_PARTS);
        let (own, part) = ((l.dest % all + u64::from(self.settings.sender_index)) % all, round / ROUND_PARTS);
        let grown = (s / self.guard_budget(lane, self.settings.slow_start_share) * ROUND_PARTS as f64) as u64;
        let has =
            |n: &u64| (n % 2 * 2 + n / 2 % 2) * ROUND_PARTS + (own + n / ROUND_PARTS) % ROUND_PARTS < grown;
        let at = from % (ROUND_PARTS * round) + round - own * (round / all);
        let (n, since) = (at / part, at % part);
        let on = since <= self.settings.overload_span / (2 * TURN_GAP_DIVISOR)
            && l.last_sent + since < from
            && has(&n);
        let next = (n + 1..n + ROUND_PARTS).find(has).unwrap_or(n + ROUND_PARTS);
        let turn = from + if on { 0 } else { (next - n) * part - since };
        (self.now < l.guard_until && s < f64::from(self.settings.sender_count))
            .then_some(turn.min(l.guard_until.max(from)))
    }

    /// When the lane may take its next call, as far as can be told; at or before the present: now.
    fn available_at(&self, lane: usize) -> Micros {
        let (l, mut at) = (&self.lanes[lane], self.lanes[lane].wait_until);
        if l.in_outage {
            if l.trial_call.is_some() {
                at = at.max(l.last_sent + l.call_timeout(self.min_timeout));
            }
        } else {
            // Calls past all patience hold slots, but no longer the window.
            let (patience, eff) = (l.call_timeout(self.min_timeout), l.effective_window(self.now));
            let mut live = l.in_flight.iter().map(|(_, sent)| *sent).filter(|t| t + patience > self.now);
            let most = if eff >= 1.0 { eff as usize } else { 2 - (eff < l.window) as usize };
            if let Some(first) = live.next().filter(|_| live.count() + 1 >= most) {
                at = at.max(first + patience);
            }
            if eff < 1.0 && self.paced_interval(lane, false).is_none() {
                // DEPARTURE: a window below one is a pace, a call every CAL / w.
                at = at.max(
                    l.last_sent
                        + (l.latency.smoothed.unwrap_or(LATENCY_FLOOR) / eff).min(PACE_INTERVAL_MAX)
                            as Micros,
                );
            }
        }
        at = at.max(l.paced_at.saturating_sub((self.call_gap(lane) as f64 * CALLS_AHEAD) as Micros));
        self.next_turn(lane, at).unwrap_or_else(|| {
            // Slow start: this sender's part of S in any span. Where turns went before, some have one more.
            let (all, calls) =
                (u64::from(self.settings.sender_count.max(1)), self.slow_start_budget(lane) as u64);
            let more = (l.dest % all + u64::from(self.settings.sender_index)) % all < calls % all;
            let own = (calls / all) as usize
                + usize::from(more && self.turn_cycle(lane) > self.settings.overload_span);
            let excess = l.recent_sends.len().checked_sub(own.max(1)).filter(|_| self.now < l.guard_until);
            at.max(excess.map_or(0, |n| l.recent_sends[n] + self.settings.overload_span))
        })
    }

    // ---- Sending. ----

    /// Fills free slots, the most to be won for the slot's time first. Returns when to look again.
    fn dispatch(&mut self) -> Micros {
        let free = |d: &Self| {
            (d.calls_in_flight.len() as u32)
                < d.settings.slots + breaks::is_enabled(Break::SlotTooMany) as u32
        };
        let (mut wake, mut found): (_, BTreeMap<DestId, Candidate>) = (NEVER, BTreeMap::new());
        self.ready_destinations.extend(self.blocked_destinations.due_by(self.now));
        let ready = if free(self) { std::mem::take(&mut self.ready_destinations) } else { BTreeSet::new() };
        for dest in ready.into_iter().filter(|d| self.waiting_destinations.contains(d)).collect::<Vec<_>>() {
            found.extend(self.consider(dest, &mut wake).map(|pick| (dest, pick)));
        }
        while free(self) {
            let best = found.iter().reduce(|a, b| if b.1.0 > a.1.0 { b } else { a });
            let Some((&dest, &(_, id, endpoint, _))) = best else { break };
            self.send(id, endpoint);
            found.remove(&dest);
            found.extend(self.consider(dest, &mut wake).map(|pick| (dest, pick)));
        }
        self.ready_destinations.extend(found.keys());
        if free(self) {
            wake.min(self.blocked_destinations.next_due().unwrap_or(NEVER))
        } else {
            self.reclaim_slot()
        }
    }

    /// The best of a destination, or when time may change that there is none: under a guard at any moment.
    fn consider(&mut self, dest: DestId, wake: &mut Micros) -> Option<Candidate> {
        let mut own = NEVER;
        let best = self.best_for_destination(dest, &mut own);
        *wake = own.min(*wake);
        if self.waiting_destinations.contains(&dest) {
            self.blocked_destinations.set(dest, own);
            let guarded =
                self.destinations[&dest].lanes.iter().any(|n| self.now < self.lanes[*n].guard_until);
            self.ready_destinations.extend(guarded.then_some(dest));
        }
        best
    }

    /// DEPARTURE: all slots taken while others could send: the call longest overdue is called off.
    /// Guards against silent destinations that hold unsafe calls; it may end one that only was slow.
    fn reclaim_slot(&mut self) -> Micros {
        let due = |a: &Attempt, left: &[MsgId]| {
            let call_age_limit = (TIMEOUT_LATENCIES * self.lanes[a.lane].answered_latency)
                .clamp(RECLAIM_AGE_MIN, RECLAIM_AGE_MAX);
            let once =
                |id: &MsgId| self.settings.classes[self.messages[id].class].effect == Effect::NonIdempotent;
            a.latency_from
                + (if left.iter().any(once) {
                    call_age_limit * NON_IDEMPOTENT_TIMEOUT_FACTOR
                } else {
                    call_age_limit
                }) as Micros
        };
        let calls = self
            .calls_in_flight
            .iter()
            .filter_map(|(n, o)| Some((*n, o, self.messages[o.pending.first()?].attempts.last()?)));
        let worst = calls
            .filter(|(.., a)| !a.cancelled && !a.streams_body)
            .map(|(n, o, a)| (due(a, &o.pending), n))
            .min();
        let Some((due, call)) = worst.filter(|_| self.settings.cancel) else { return NEVER };
        if due > self.now {
            return due;
        }
        let (mut wake, waiting): (_, Vec<DestId>) =
            (NEVER, self.waiting_destinations.iter().copied().collect());
        if !waiting.into_iter().any(|d| self.best_for_destination(d, &mut wake).is_some()) {
            return wake;
        }
        for msg in self.calls_in_flight[&call].pending.clone() {
            let attempts = &mut self.messages.get_mut(&msg).expect("its call is out").attempts;
            let attempt = attempts.len() as u32 - 1;
            attempts[attempt as usize].cancelled = true;
            self.actions.push(DispatchAction::Cancel { msg, attempt });
        }
        NEVER
    }

    /// The best message for a destination that may send now, with its endpoint.
    fn best_for_destination(&mut self, dest: DestId, wake: &mut Micros) -> Option<Candidate> {
        let at = |l: &usize| self.lanes[*l].in_flight.len() + self.lanes[*l].open_streams as usize;
        if self.destinations[&dest].lanes.iter().map(at).sum::<usize>()
            >= window_cap(self.settings.slots) as usize
        {
            return None;
        }
        let mut best: Option<Candidate> = None;
        for lane in self.destinations[&dest].lanes.clone() {
            let at = self.available_at(lane);
            if at > self.now {
                self.lanes[lane].window_limited = true;
                *wake = (*wake).min(at);
                continue;
            }
            let Some(pick) = self.best_message(lane, None, wake) else { continue };
            best = best.filter(|b| (b.3, -b.0) <= (pick.3, -pick.0)).or(Some(pick));
        }
        best
    }

    /// The message of a lane with the most to be won now, and where it goes. One that is bound to
    /// a zone, waits for its turn or is held back never blocks the others. `call`: it joins one to there.
    fn best_message(&self, lane: usize, call: Option<EndpointId>, wake: &mut Micros) -> Option<Candidate> {
        let l = &self.lanes[lane];
        let eta = self.now + l.latency.smoothed.unwrap_or(LATENCY_FLOOR) as Micros;
        // Before a planned stop a call starts only where twice the usual time is left for it.
        let ends = self.stop_at.is_none_or(|stop| eta + (eta - self.now) <= stop);
        let usual =
            call.map_or_else(|| self.choose_endpoint(lane, None), |to| Some((0.0, to))).filter(|_| ends)?;
        // One with less time left than calls there may take would cut the others' short, and goes alone.
        let least = if call.is_some() { self.now + l.call_timeout(self.min_timeout) } else { 0 };
        // How long a call there is likely to hold its slot (a quarter of a second where nothing is known).
        let typical = l.latency.smoothed.unwrap_or(0.25 * SECOND as f64);
        let slot = if l.timeouts_in_row > 0 { l.call_timeout(self.min_timeout) as f64 } else { typical };
        let (mut best, mut place): (Option<Candidate>, u64) = (None, 0);
        for (group, age_set) in self.destinations[&self.endpoints[&usual.1].dest].waiting.groups() {
            let to = if group.zone.is_some() { self.choose_endpoint(lane, group.zone) } else { Some(usual) };
            let fits = |to: &(f64, EndpointId)| {
                call.map_or(!group.stream || self.may_start_stream(lane), |c| c == to.1 && !group.stream)
            };
            let Some((rank, to)) = to.filter(fits) else { continue };
            let ends = || age_set.candidates(eta, || self.breakpoints(group, HORIZON));
            for id in if group.ordered { age_set.iter().collect() } else { ends() } {
                let m = &self.messages[&id];
                if m.deadline < least || !self.may_send(m) || !self.is_next_of_key(id, m, wake) {
                    continue;
                }
                let here = self.value_at(m, eta);
                let v = (PRESENT_VALUE_WEIGHT * here + here - self.value_at(m, eta + HORIZON)) / slot;
                if best.is_none_or(|b| v > b.0 || (v == b.0 && m.position < place)) {
                    (best, place) = (Some((v, id, to, rank)), m.position);
                }
            }
        }
        best
    }

    /// Whether one more stream may begin: they share slots and a destination's window by a stated part.
    /// None is a trial: the end of an outage would show only with its last byte.
    fn may_start_stream(&self, lane: usize) -> bool {
        let (l, all) = (&self.lanes[lane], self.lanes.iter().map(|l| l.open_streams).sum::<u32>());
        let most = (l.window * self.settings.stream_window_share) as u32;
        let has_capacity = all < self.settings.stream_slots && l.open_streams < most.max(1);
        !l.in_outage && (has_capacity || breaks::is_enabled(Break::IgnoreStreamShare))
    }

    /// The endpoint of a lane: fewest in flight, not failing, a connection idle.
    fn choose_endpoint(&self, lane: usize, zone: Option<u32>) -> Option<(f64, EndpointId)> {
        let ready = |e: &Endpoint| e.listed && zone.is_none_or(|z| z == e.zone);
        let rank = |e: &Endpoint| {
            let warm = e.idle_since.iter().any(|t| t + self.settings.keepalive > self.now);
            let has_capacity = !e.calls.is_multiple_of(self.settings.streams_per_connection.max(1));
            let link = if warm || has_capacity { 0.0 } else { NEW_CONNECTION_COST };
            let cross = e.zone != self.settings.zone && self.settings.cross_zone_price > 0.0;
            e.calls as f64 + e.tie_break + link + if cross { ZONE_CROSSING_COST } else { 0.0 }
        };
        let own = self.lanes[lane].endpoints.iter().map(|id| (*id, &self.endpoints[id]));
        let ranked = own.filter(|(_, e)| ready(e)).map(|(id, e)| (rank(e), id));
        ranked.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Makes a call with this message, and with as much of what else the lane holds as one call may carry.
    fn send(&mut self, id: MsgId, endpoint: EndpointId) {
        let (now, jitter, call) = (self.now, self.jitter(), self.next_call);
        self.next_call += 1;
        let e = self.endpoints.get_mut(&endpoint).expect("chosen from the list");
        let (lane, stream) = (e.lane, self.messages[&id].stream);
        e.idle_since.retain(|t| t + self.settings.keepalive > now);
        let reused_connection = e.idle_since.pop().is_some();
        (e.calls, e.tie_break) = (e.calls + 1, (jitter - 1.0).abs());
        self.calls_in_flight.insert(call, CallInFlight::default());
        self.add_to_call(id, endpoint, call, reused_connection);
        // DEPARTURE: a call is one in the window, for a slot and under the guard, whatever it carries.
        let (gap, most) = (self.call_gap(lane), self.batch_and_routes(lane).0);
        let alone = stream
            || self.lanes[lane].in_outage
            || self.messages[&id].deadline < now + self.lanes[lane].call_timeout(self.min_timeout);
        let (mut size, mut bytes) = (1, self.messages[&id].size);
        while size < most && !alone {
            let more = self.best_message(lane, Some(endpoint), &mut NEVER.clone());
            let Some((_, id, ..)) = more.filter(|m| bytes + self.messages[&m.1].size <= MAX_CALL_BYTES)
            else {
                break;
            };
            bytes += self.messages[&id].size;
            self.add_to_call(id, endpoint, call, reused_connection);
            size += 1;
        }
        let l = &mut self.lanes[lane];
        if stream {
            l.open_streams += 1;
        } else {
            l.in_flight.push_back((call, now));
        }
        (l.paced_at, l.last_sent) = (l.paced_at.max(now) + gap, now);
        // Each further message makes a call a little heavier.
        l.recent_sends.extend(std::iter::repeat_n(now, 1 + (size as f64 * EXTRA_MESSAGE_WEIGHT) as usize));
        while l.recent_sends.front().is_some_and(|t| t + self.settings.overload_span < now) {
            l.recent_sends.pop_front();
        }
        l.window_limited |= l.in_flight.len() >= (l.window as usize).max(1);
        l.trial_call = l.in_outage.then_some(call);
    }

    fn add_to_call(&mut self, id: MsgId, endpoint: EndpointId, call: CallNumber, reused_connection: bool) {
        self.dequeue(id);
        let (now, zone, lane) = (self.now, self.endpoints[&endpoint].zone, self.endpoints[&endpoint].lane);
        let patience = self.lanes[lane].call_timeout(self.min_timeout);
        let m = self.messages.get_mut(&id).expect("chosen from those held");
        let left = &mut self.calls_in_flight.get_mut(&call).expect("the caller makes it").pending;
        let joins_previous = !left.is_empty();
        left.push(id);
        let timeout = match self.settings.classes[m.class].effect {
            Effect::NonIdempotent if self.settings.cancel => m.deadline,
            Effect::NonIdempotent => (patience as f64 * NON_IDEMPOTENT_TIMEOUT_FACTOR) as Micros,
            _ => patience,
        };
        let timeout = timeout.min(m.deadline.saturating_sub(now)).max(1);
        // A host that connects or writes for so long gives the call up; half the margin covers the trip.
        let send_before = match (self.settings.classes[m.class].effect, m.first_possible_run()) {
            _ if breaks::is_enabled(Break::RetryAfterSpan) || breaks::is_enabled(Break::RetryAtSpanEnd) => {
                NEVER
            }
            (Effect::Deduplicated { span, .. }, Some(first)) => first.sent + span - KEY_MEMORY_MARGIN / 2,
            _ => NEVER,
        };
        let (sent, latency_from, streams_body, execution, cancelled) =
            (now, now, m.stream, Execution::InFlight, false);
        m.attempts.push(Attempt {
            endpoint,
            zone,
            lane,
            call,
            sent,
            latency_from,
            execution,
            reused_connection,
            cancelled,
            streams_body,
        });
        self.message_expiries.set(id, self.expiry(&self.messages[&id], 0));
        self.actions.push(DispatchAction::Send { msg: id, endpoint, timeout, send_before, joins_previous });
    }

    /// The listed rate of a lane, the least of its endpoints', if any tells one.
    fn listed_rate(&self, lane: usize) -> Option<f64> {
        let rates = self.lanes[lane].endpoints.iter().map(|e| self.endpoints[e].rate);
        rates.filter(|r| *r > 0.0).reduce(f64::min).map(|r| r.max(MIN_RATE))
    }

    /// Messages that one call of a lane may carry, and whether it is one of several routes.
    fn batch_and_routes(&self, lane: usize) -> (u32, bool) {
        let kind =
            self.destinations.get(&self.lanes[lane].dest).and_then(|d| self.settings.kinds.get(d.kind));
        kind.map_or((1, false), |k| (k.batch.max(1), k.separate_routes))
    }

    /// Time between two calls of this sender, if all senders have their part of a told limit: messages
    /// that one call may carry together gather meanwhile, instead of each using up a part of the limit.
    fn call_gap(&self, lane: usize) -> Micros {
        let rate = if self.batch_and_routes(lane).0 > 1 { self.listed_rate(lane) } else { None };
        let reported = rate.map(|rate| 1e6 * self.settings.sender_count.max(1) as f64 / rate);
        reported.or(self.paced_interval(lane, false).map(|p| p / self.lanes[lane].window)).unwrap_or(0.0)
            as Micros
    }

    /// DEPARTURE: no window of whole calls keeps to a part of a told rate that is under a call in CAL. A lane
    /// whose window was shrunk within a minute sends w calls in its part's time for one, as all others go on
    /// too. It makes late what comes to one sender in a clump. Routes leave a choice, crowds have turns.
    fn paced_interval(&self, lane: usize, shrinks: bool) -> Option<f64> {
        let (l, siblings) = (&self.lanes[lane], self.settings.sender_count.max(1) as f64);
        let shrunk = shrinks || l.last_shrink > 0 && self.now < l.last_shrink + BASELINE_SPAN;
        let rate =
            if shrunk && self.batch_and_routes(lane) == (1, false) { self.listed_rate(lane) } else { None };
        let part = 1e6 * siblings / rate?;
        (part > l.latency.smoothed.unwrap_or(LATENCY_FLOOR) && !self.is_sparsely_served(lane)).then_some(part)
    }
}

/// A pause that grows by half with each of `n` failures before it.
fn backoff(n: u32, jitter: f64) -> Micros {
    ((BACKOFF_FIRST * BACKOFF_GROWTH.powi(n.min(20) as i32)).min(BACKOFF_MAX) * jitter) as Micros
}

/// Three quarters of the slots, one at least: the design's cap.
fn window_cap(slots: u32) -> u32 {
    (slots * 3 / 4).max(1)
}

impl Lane {
    fn new(slots: u32) -> Self {
        let window = (window_cap(slots) as f64 / 2.0).max(1.0);
        Lane {
            window,
            latency: LatencyEstimate::new(LATENCY_FLOOR),
            first_failure_sent: NEVER,
            ..Lane::default()
        }
    }

    /// The design's update after a call: CAL, the baseline of the last minute, the window.
    fn add_latency_sample(&mut self, now: Micros, latency: f64) {
        let latency = latency.max(LATENCY_FLOOR);
        let cal = self.latency.add(
            now,
            latency,
            LATENCY_SMOOTHING,
            now.saturating_sub(BASELINE_SPAN),
            LATENCY_FLOOR,
        );
        let ratio = LATENCY_THRESHOLD * self.latency.baseline / cal;
        // DEPARTURE: an idle window does not grow. It answers a clump that finds a window far
        // above what was ever tried; it could hold a lane back whose demand jumps.
        if ratio < 1.0 || self.window_limited {
            self.window =
                (1.0 - WINDOW_STEP) * self.window + WINDOW_STEP * (ratio * self.window + WINDOW_GROWTH);
        }
        self.window_limited = false;
    }

    /// DEPARTURE: the window as it stands while calls are overdue. A call out for longer than the
    /// threshold counts as a latency sample in the making, so that a destination that hangs holds
    /// few slots. It could starve a lane on one freak call; pacing still lets calls through.
    fn effective_window(&self, now: Micros) -> f64 {
        let oldest = self.in_flight.iter().map(|(_, sent)| *sent).find(|t| *t > self.last_success_sent);
        let (Some(sent), Some(_)) = (oldest, self.latency.smoothed) else { return self.window };
        let (age, limit) = ((now - sent) as f64, LATENCY_THRESHOLD * self.latency.baseline);
        if age > limit { self.window * limit / age } else { self.window }
    }

    /// How long a call that may be repeated is waited for: from answers only, since time-outs
    /// would feed on themselves; they double it instead, to tell slow from silent.
    fn call_timeout(&self, least: f64) -> Micros {
        let doubled = (1u32 << self.timeouts_in_row.min(TIMEOUT_DOUBLINGS)) as f64;
        let least = if self.in_outage { TRIAL_TIMEOUT_MIN } else { least };
        ((TIMEOUT_LATENCIES * self.answered_latency).max(least) * doubled) as Micros
    }
}
