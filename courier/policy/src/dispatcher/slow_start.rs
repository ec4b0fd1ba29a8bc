//! Slow start: the guard that limits the calls to a destination that may be returning from an outage.
//!
//! DEPARTURE: a destination that restarts with cold caches fails again under its earlier load. From the start of an
//! outage, or from the first failure where many senders share a destination, all senders together limit their calls
//! in any overload span to a budget. The limit ends when the time of the slow start has passed since a later success.
//! Senders do not communicate: each one uses its share of the budget. Where that share is less than one call, the
//! senders take turns in the order of their indices (`docs/design.md`).

use super::state::Dispatcher;
use super::time::NEVER;
use crate::ids::Micros;

/// Budget of the guard, as a fraction of the load that overloads a destination.
const GUARD_SHARE: f64 = 2.0 / 3.0;
/// Factor by which an approximate weight may be too high.
const WEIGHT_ERROR: f64 = 1.5;
/// Turns of different spans are separated by the overload span divided by this; a turn may start within half of that
/// time.
pub const TURN_GAP_DIVISOR: Micros = 16;
/// Number of parts of a round of turns, and of the steps in which a growing budget adds the turns of each part. The
/// number of turns in a round is a multiple of it.
const ROUND_PARTS: u64 = 4;
/// Minimum rate of all senders together, calls a second, so that no sender is excluded permanently.
pub const MIN_RATE: f64 = 0.01;

impl Dispatcher {
    /// Records a failure of a route. In an outage, or if the route is sparsely served or already guarded, the guard
    /// is active from now on.
    pub(super) fn record_failure(&mut self, route: usize, in_outage: bool) {
        let is_guarded =
            in_outage || self.is_sparsely_served(route) || self.now < self.routes[route].guard_until;
        let keep_until = self.now.saturating_add(self.turn_cycle(route));
        let failed = &mut self.routes[route];
        failed.guard_until = if is_guarded { NEVER } else { 0 };
        failed.keep_until = if is_guarded { keep_until } else { 0 };
        failed.last_failure_seen = self.now;
        self.next_expiry_check = self.now;
        if is_guarded {
            self.guarded_routes.insert(route);
        }
    }

    /// Whether a sender's share of a route's budget is so small that it rarely observes three consecutive failures:
    /// less than one call in twice the time of the slow start.
    pub(super) fn is_sparsely_served(&self, route: usize) -> bool {
        let budget = GUARD_SHARE * self.calls_allowed(route, self.settings.slow_start_share);
        f64::from(self.settings.sender_count) * self.settings.overload_span as f64
            > budget * 2.0 * self.settings.slow_start as f64
    }

    /// Time between two turns of one sender while the destination is cold, microseconds.
    pub(super) fn turn_cycle(&self, route: usize) -> Micros {
        let span = (self.settings.overload_span + self.settings.overload_span / TURN_GAP_DIVISOR) as f64;
        let budget = self.guard_budget(route, self.settings.slow_start_share).floor();
        let turn = (span / budget).max(1.0) as Micros;
        turn.saturating_mul(self.turns_per_round()).min(NEVER / 32)
    }

    /// Time of this sender's next turn, not before `from`, if its share of the budget is less than one call: `from`
    /// itself, a later time, or the end of the guard. `None` if the sender need not wait for a turn.
    ///
    /// While the budget grows, more quarters of a round contain a turn, each distributed as evenly over all senders
    /// as the first.
    pub(super) fn next_turn(&self, route: usize, from: Micros) -> Option<Micros> {
        let guarded = &self.routes[route];
        let from = from.max(self.now);
        let round = self.turn_cycle(route);
        let budget = self.slow_start_budget(route);
        let turns = self.turns_per_round();
        let own_turn = (guarded.dest % turns + u64::from(self.settings.sender_index)) % turns;
        let part = round / ROUND_PARTS;
        let cold_budget = self.guard_budget(route, self.settings.slow_start_share);
        let turns_in_use = (budget / cold_budget * ROUND_PARTS as f64) as u64;
        // The quarters of a round are used in the order 0, 2, 1, 3. Within each quarter, the growing budget adds the
        // turns of the senders in ROUND_PARTS steps, which start at a different step for each sender.
        let has_turn = |n: &u64| {
            (n % 2 * 2 + n / 2 % 2) * ROUND_PARTS + (own_turn + n / ROUND_PARTS) % ROUND_PARTS < turns_in_use
        };

        let phase = from % (ROUND_PARTS * round) + round - own_turn * (round / turns);
        let current = phase / part;
        let elapsed = phase % part;
        let is_now = elapsed <= self.settings.overload_span / (2 * TURN_GAP_DIVISOR)
            && guarded.last_sent + elapsed < from
            && has_turn(&current);
        let next = (current + 1..current + ROUND_PARTS).find(has_turn).unwrap_or(current + ROUND_PARTS);
        let turn = from + if is_now { 0 } else { (next - current) * part - elapsed };
        let takes_turns = self.now < guarded.guard_until && budget < f64::from(self.settings.sender_count);
        takes_turns.then_some(turn.min(guarded.guard_until.max(from)))
    }

    /// Earliest time, not before `from`, at which this sender's share of the budget (whole calls in any overload
    /// span) allows another call. If the senders took turns before, those whose turns come first have one more call.
    pub(super) fn after_budget(&self, route: usize, from: Micros) -> Micros {
        let guarded = &self.routes[route];
        let senders = u64::from(self.settings.sender_count.max(1));
        let calls = self.slow_start_budget(route) as u64;
        let has_extra_call =
            (guarded.dest % senders + u64::from(self.settings.sender_index)) % senders < calls % senders;
        let adds_call = has_extra_call && self.turn_cycle(route) > self.settings.overload_span;
        let own_calls = (calls / senders) as usize + usize::from(adds_call);
        let excess = guarded.recent_sends.len().checked_sub(own_calls.max(1));
        let limiting_call = excess.filter(|_| self.now < guarded.guard_until);
        from.max(limiting_call.map_or(0, |index| guarded.recent_sends[index] + self.settings.overload_span))
    }

    /// Number of turns in a round: one for each sender, rounded up so that the quarters are equal.
    fn turns_per_round(&self) -> u64 {
        u64::from(self.settings.sender_count.max(1)).next_multiple_of(ROUND_PARTS)
    }

    /// Number of calls (B) that the settings allow in an overload span if the destination has this share of its
    /// capacity.
    fn calls_allowed(&self, route: usize, share: f64) -> f64 {
        let weight_error = if self.settings.weight_is_approximate { WEIGHT_ERROR } else { 1.0 };
        let rate = self.listed_rate(route).unwrap_or(1.0) / weight_error;
        (self.settings.overload_multiple * share * rate).max(MIN_RATE) * self.settings.overload_span as f64
            / 1e6
    }

    /// Budget of the guard (S), calls in an overload span if the destination has this share of its capacity: a
    /// fraction of B + 2 sqrt(B) + 2, above which the destination fails.
    fn guard_budget(&self, route: usize, share: f64) -> f64 {
        let allowed = self.calls_allowed(route, share);
        GUARD_SHARE * (allowed + 2.0 * allowed.sqrt() + 2.0)
    }

    /// Current budget, at the share of its capacity that the destination certainly had one overload span ago. The
    /// span is shortened by the average delay of the senders: each one detects a return with its next call, on
    /// average half the time between two calls late. A sparsely served destination has the cold budget throughout,
    /// since few calls give information about it.
    fn slow_start_budget(&self, route: usize) -> f64 {
        let start_share = self.settings.slow_start_share;
        let cold_budget = self.guard_budget(route, start_share);
        let detection_delay =
            ((f64::from(self.settings.sender_count) - 1.0) / cold_budget.floor()).min(1.0) / 2.0;
        let spans_ago =
            if self.turn_cycle(route) > self.settings.overload_span { 0.0 } else { 1.0 } - detection_delay;
        let remaining = self.routes[route].guard_until.saturating_sub(self.now) as f64
            + self.settings.overload_span as f64 * spans_ago;
        let progress = if self.is_sparsely_served(route) {
            0.0
        } else {
            1.0 - remaining / self.settings.slow_start.max(1) as f64
        };
        self.guard_budget(route, start_share + (1.0 - start_share) * progress.clamp(0.0, 1.0))
    }
}
