//! Intervals of a replica, and the timer that starts its elections.

use quillmount_wire::Micros;

/// Intervals of the register's replicas; the same on all members.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of a primary, and between two attempts to deliver a proposal; microseconds.
    pub heartbeat_interval: Micros,
    /// From the start of a member, or from a lost election, to the next pre-vote, before jitter; microseconds. It may
    /// be short: members that hear from a primary grant no pre-vote.
    pub pre_vote_delay: Micros,
    /// Time without a primary after which a member stands for election, before jitter of up to half of it;
    /// microseconds.
    pub election_timeout: Micros,
    /// Time without an answer after which a commit no longer waits for a member, and without answers of a majority
    /// after which a primary steps down; microseconds.
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

/// Multiplier of the linear congruential generator of the jitter (Knuth's MMIX).
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the generator.
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// The randomized timer that starts an election (Ongaro 2014, section 3.4).
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// The election timeout before jitter.
    timeout: Micros,
    /// When the timer was started: at the last contact with a primary or the start of an election, or earlier to make
    /// it expire sooner.
    started_at: Micros,
    /// Added to the timeout, so that members do not stand for election at the same time.
    jitter: Micros,
    /// State of the generator.
    random: u64,
}

impl ElectionTimer {
    /// A timer that starts now; `seed` differs between members.
    pub(super) fn new(timeout: Micros, seed: u64, now: Micros) -> ElectionTimer {
        let mut timer = ElectionTimer { timeout, started_at: now, jitter: 0, random: seed };
        timer.renew_jitter();
        timer
    }

    /// Draws another jitter.
    pub(super) fn renew_jitter(&mut self) {
        self.random = self.random.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        self.jitter = (self.random >> 33) % (self.timeout / 2 + 1);
    }

    /// Restarts the timer with the same jitter.
    pub(super) fn restart(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Makes the timer expire after `span`, with a quarter of the jitter added.
    pub(super) fn expire_after(&mut self, span: Micros, now: Micros) {
        let wait = span + self.jitter / 4;
        self.started_at = now.saturating_sub((self.timeout + self.jitter).saturating_sub(wait));
    }

    /// Whether it is time to stand for election.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        self.elapsed(now) > self.timeout + self.jitter
    }

    /// Whether less than half of the timeout has passed.
    pub(super) fn is_recent(&self, now: Micros) -> bool {
        self.elapsed(now) < self.timeout / 2
    }

    fn elapsed(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }
}
