//! Slow start: the guard of a destination that may be returning from an outage.
//!
//! DEPARTURE: a destination that starts with cold caches fails again under the load that it had before. From an outage
//! on, or from the first failure where many senders share a destination, all senders together keep to a budget of calls
//! in any overload span, until the time of the slow start has passed since a later success. Senders do not communicate: each
//! keeps to its share of the budget and, where that share is less than a full call, takes turns by its number
//! (`docs/design.md`).

use super::state::Dispatcher;
use super::time::NEVER;
use crate::ids::Micros;

/// The guard's share of the load that brings a destination down.
const GUARD_SHARE: f64 = 2.0 / 3.0;
/// How much too high an approximate weight may be.
const WEIGHT_ERROR: f64 = 1.5;
/// The fraction of an overload span that turns leave free between spans; each turn begins within half of that.
pub const TURN_GAP_DIVISOR: Micros = 16;
/// Parts of a round of turns, which has a multiple of this many turns; and parts of what each of them adds.
const ROUND_PARTS: u64 = 4;
/// The least rate of all senders together, calls a second, so that no sender is excluded permanently.
pub const MIN_RATE: f64 = 0.01;

impl Dispatcher {
    /// Records that the sender has seen a failure of a route. In an outage, or where the route is sparsely served, the
    /// guard is active from now on.
    pub(super) fn note_failure_seen(&mut self, route: usize, in_outage: bool) {
        let binds = in_outage || self.is_sparsely_served(route) || self.now < self.routes[route].guard_until;
        let keep_until = self.now.saturating_add(self.turn_cycle(route));
        let failed = &mut self.routes[route];
        failed.guard_until = if binds { NEVER } else { 0 };
        failed.keep_until = if binds { keep_until } else { 0 };
        failed.last_failure_seen = self.now;
        self.next_expiry_check = self.now;
        if binds {
            self.guarded_routes.insert(route);
        }
    }

    /// Whether a sender's share of a route's budget is so small that it rarely sees three failures in a row: less than a call
    /// in twice the time of the slow start.
    pub(super) fn is_sparsely_served(&self, route: usize) -> bool {
        let budget = GUARD_SHARE * self.calls_allowed(route, self.settings.slow_start_share);
        f64::from(self.settings.sender_count) * self.settings.overload_span as f64
            > budget * 2.0 * self.settings.slow_start as f64
    }

    /// Time between two turns of one sender while the destination is cold.
    pub(super) fn turn_cycle(&self, route: usize) -> Micros {
        let span = (self.settings.overload_span + self.settings.overload_span / TURN_GAP_DIVISOR) as f64;
        let budget = self.guard_budget(route, self.settings.slow_start_share).floor();
        let turn = (span / budget).max(1.0) as Micros;
        turn.saturating_mul(self.turns_per_round()).min(NEVER / 32)
    }

    /// This sender's turn, from `from` on, where its share of the budget is less than a full call: `from` itself, a later
    /// time, or the end of the guard. `None` where there are no turns to wait for.
    ///
    /// As the budget grows, more and more quarters of a round contain a turn, each as evenly over all senders as the first.
    pub(super) fn next_turn(&self, route: usize, from: Micros) -> Option<Micros> {
        let guarded = &self.routes[route];
        let from = from.max(self.now);
        let round = self.turn_cycle(route);
        let budget = self.slow_start_budget(route);
        let turns = self.turns_per_round();
        let own_turn = (guarded.dest % turns + u64::from(self.settings.sender_index)) % turns;
        let part = round / ROUND_PARTS;
        let cold_budget = self.guard_budget(route, self.settings.slow_start_share);
        let grown = (budget / cold_budget * ROUND_PARTS as f64) as u64;
        // The quarters are used in the order 0, 2, 1, 3, and each sender starts the count at another one.
        let has_turn = |n: &u64| {
            (n % 2 * 2 + n / 2 % 2) * ROUND_PARTS + (own_turn + n / ROUND_PARTS) % ROUND_PARTS < grown
        };

        let phase = from % (ROUND_PARTS * round) + round - own_turn * (round / turns);
        let current = phase / part;
        let since = phase % part;
        let is_now = since <= self.settings.overload_span / (2 * TURN_GAP_DIVISOR)
            && guarded.last_sent + since < from
            && has_turn(&current);
        let next = (current + 1..current + ROUND_PARTS).find(has_turn).unwrap_or(current + ROUND_PARTS);
        let turn = from + if is_now { 0 } else { (next - current) * part - since };
        let takes_turns = self.now < guarded.guard_until && budget < f64::from(self.settings.sender_count);
        takes_turns.then_some(turn.min(guarded.guard_until.max(from)))
    }

    /// Earliest time at which this sender's share of the budget, in full calls in any overload span, allows another call.
    /// Where the senders took turns before, those whose turns come first have one more.
    pub(super) fn after_budget(&self, route: usize, at: Micros) -> Micros {
        let guarded = &self.routes[route];
        let senders = u64::from(self.settings.sender_count.max(1));
        let calls = self.slow_start_budget(route) as u64;
        let has_more =
            (guarded.dest % senders + u64::from(self.settings.sender_index)) % senders < calls % senders;
        let took_turns = has_more && self.turn_cycle(route) > self.settings.overload_span;
        let own_calls = (calls / senders) as usize + usize::from(took_turns);
        let excess = guarded.recent_sends.len().checked_sub(own_calls.max(1));
        let binding = excess.filter(|_| self.now < guarded.guard_until);
        at.max(binding.map_or(0, |n| guarded.recent_sends[n] + self.settings.overload_span))
    }

    /// Turns in a round: one for each sender, rounded up so that the quarters are equal.
    fn turns_per_round(&self) -> u64 {
        u64::from(self.settings.sender_count.max(1)).next_multiple_of(ROUND_PARTS)
    }

    /// Calls that the settings allow in an overload span at this share of the capacity (B).
    fn calls_allowed(&self, route: usize, share: f64) -> f64 {
        let weight_error = if self.settings.weight_is_approximate { WEIGHT_ERROR } else { 1.0 };
        let rate = self.listed_rate(route).unwrap_or(1.0) / weight_error;
        (self.settings.overload_multiple * share * rate).max(MIN_RATE) * self.settings.overload_span as f64
            / 1e6
    }

    /// The guard's budget (S), calls in an overload span at this share of the capacity: a fraction of B + 2 root B + 2, above
    /// which the destination fails.
    fn guard_budget(&self, route: usize, share: f64) -> f64 {
        let allowed = self.calls_allowed(route, share);
        GUARD_SHARE * (allowed + 2.0 * allowed.sqrt() + 2.0)
    }

    /// The budget at the share of its capacity that the destination certainly had a span ago, reduced by the average delay of
    /// the senders: each notices a return with its next call, half the time between two calls late. A sparsely served
    /// destination keeps the cold budget, since few calls give information about it.
    fn slow_start_budget(&self, route: usize) -> f64 {
        let start_share = self.settings.slow_start_share;
        let cold_budget = self.guard_budget(route, start_share);
        let senders_late =
            ((f64::from(self.settings.sender_count) - 1.0) / cold_budget.floor()).min(1.0) / 2.0;
        let spans_ago =
            if self.turn_cycle(route) > self.settings.overload_span { 0.0 } else { 1.0 } - senders_late;
        let left = self.routes[route].guard_until.saturating_sub(self.now) as f64
            + self.settings.overload_span as f64 * spans_ago;
        let progress = if self.is_sparsely_served(route) {
            0.0
        } else {
            1.0 - left / self.settings.slow_start.max(1) as f64
        };
        self.guard_budget(route, start_share + (1.0 - start_share) * progress.clamp(0.0, 1.0))
    }
}
