//! Timing parameters of a replica, and the timer that starts its elections.

use quillmount_wire::Micros;

/// Upper bound on the age of the state that a primary publishes, microseconds: a majority has answered messages that were sent within
/// it.
pub const MAX_PUBLISHED_STATE_AGE: Micros = 1_000_000;

/// Timing parameters of the register's replicas; all members have to use the same ones.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a primary, and between two attempts to deliver a proposal, microseconds.
    pub heartbeat_interval: Micros,
    /// Delay before jitter from the start of a member, or from a lost election, to the next pre-vote, microseconds.
    /// It may be short, because members that hear from a primary grant no pre-vote.
    pub pre_vote_delay: Micros,
    /// Time without contact to a primary after which a member starts an election, microseconds. Jitter of up to
    /// half of it is added.
    pub election_timeout: Micros,
    /// Time without an answer after which a commit no longer waits for a member, and time without answers from a
    /// majority after which a primary steps down, microseconds.
    pub silence_timeout: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval: 150_000,
            pre_vote_delay: 40_000,
            election_timeout: 700_000,
            silence_timeout: 500_000,
        }
    }
}

/// Multiplier of the linear congruential generator that draws the jitter (Knuth's MMIX).
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator (Knuth's MMIX).
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// The randomized timer that starts an election (Ongaro 2014, section 3.4).
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// Election timeout before jitter, microseconds.
    timeout: Micros,
    /// Start time of the timer: the last contact with a primary or the start of an election, or an earlier time
    /// that makes the timer expire sooner.
    started_at: Micros,
    /// Random addition to the timeout, so that members do not start elections at the same time.
    jitter: Micros,
    /// State of the random number generator.
    random: u64,
}

impl ElectionTimer {
    /// Creates a timer that starts now; `seed` has to differ between members.
    pub(super) fn new(timeout: Micros, seed: u64, now: Micros) -> ElectionTimer {
        let mut timer = ElectionTimer { timeout, started_at: now, jitter: 0, random: seed };
        timer.renew_jitter();
        timer
    }

    pub(super) fn renew_jitter(&mut self) {
        self.random = self.random.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        self.jitter = (self.random >> 33) % (self.timeout / 2 + 1);
    }

    /// Restarts the timer and keeps the jitter.
    pub(super) fn restart(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Makes the timer expire after `delay` plus a quarter of the jitter.
    pub(super) fn expire_after(&mut self, delay: Micros, now: Micros) {
        let jittered_delay = delay + self.jitter / 4;
        self.started_at = now.saturating_sub((self.timeout + self.jitter).saturating_sub(jittered_delay));
    }

    /// Returns whether the timeout and the jitter have elapsed, so that an election may start.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        self.elapsed(now) > self.timeout + self.jitter
    }

    /// Returns whether less than half of the timeout has elapsed.
    pub(super) fn is_recent(&self, now: Micros) -> bool {
        self.elapsed(now) < self.timeout / 2
    }

    fn elapsed(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }
}
