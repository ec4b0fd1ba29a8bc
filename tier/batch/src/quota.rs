//! Tokens that a tenant may have waiting on a route, counted over all shards.
//!
//! The primary of one shard, drawn from tenant and route, keeps the ledger of that pair. The primary of any other shard
//! claims tokens there before it takes a job, and states now and then what its shard holds. A ledger that begins knows
//! nothing: it grants only once it has a statement of every shard that was made for it, so that no claim goes to an older
//! ledger any more. All figures err upwards: what was claimed counts until its outcome is certain.

use quillmount_wire::messages::{Epoch, QuotaClaim, QuotaKey, QuotaStatement};
use std::collections::BTreeMap;

/// What becomes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The tokens count from now on.
    Granted,
    /// They don't fit.
    Exceeded,
    /// This ledger does not know of all shards yet, or the claim is meant for another.
    Unknown,
}

/// What one shard holds, as far as known.
#[derive(Default)]
struct ShardReservations {
    /// Sequence of the newest statement or claim.
    sequence: u64,
    epoch: Epoch,
    tokens: BTreeMap<QuotaKey, u64>,
}

/// The ledger of one term of a shard's primary, for the pairs that the shard is to keep.
pub struct QuotaLedger {
    /// Epoch in which the primary began to serve: what is meant for an older one is passed over.
    since: Epoch,
    shards: u32,
    reservations: BTreeMap<u32, ShardReservations>,
}

impl QuotaLedger {
    /// An empty ledger for so many shards.
    pub fn new(since: Epoch, shards: u32) -> QuotaLedger {
        QuotaLedger { since, shards, reservations: BTreeMap::new() }
    }

    /// Takes what a shard states: all that it holds of the pairs kept here.
    pub fn apply_statement(&mut self, statement: &QuotaStatement) {
        if statement.ledger_epoch < self.since || statement.shard >= self.shards {
            return;
        }
        let reservation = self.reservations.entry(statement.shard).or_default();
        if (statement.epoch, statement.sequence) > (reservation.epoch, reservation.sequence) {
            reservation.epoch = statement.epoch;
            reservation.sequence = statement.sequence;
            reservation.tokens = statement.reserved.iter().cloned().collect();
        }
    }

    /// Takes a claim; `limit` is what this store knows of the route, if it knows any.
    pub fn claim(&mut self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimOutcome {
        let meant = claim.ledger_epoch >= self.since && claim.shard < self.shards;
        if !meant || self.reservations.len() < self.shards as usize {
            return ClaimOutcome::Unknown;
        }
        let limit = limit.map_or(claim.limit, |limit| limit.min(claim.limit));
        let Some(reservation) = self.reservations.get_mut(&claim.shard) else { return ClaimOutcome::Unknown };
        if (claim.epoch, claim.sequence) > (reservation.epoch, reservation.sequence) {
            reservation.epoch = claim.epoch;
            reservation.sequence = claim.sequence;
            reservation.tokens.insert(claim.key.clone(), claim.reserved);
        }
        if self.total(&claim.key) + claim.tokens > limit {
            return ClaimOutcome::Exceeded;
        }
        let reservation = self.reservations.entry(claim.shard).or_default();
        *reservation.tokens.entry(claim.key.clone()).or_default() += claim.tokens;
        ClaimOutcome::Granted
    }

    /// Tokens of a pair over all shards.
    pub fn total(&self, key: &QuotaKey) -> u64 {
        self.reservations.values().filter_map(|reservation| reservation.tokens.get(key)).sum()
    }
}

/// Claims of one shard whose outcome is not certain yet, while its primary serves.
#[derive(Default)]
pub struct PendingClaims {
    tokens: BTreeMap<QuotaKey, u64>,
}

impl PendingClaims {
    /// A claim begins: it counts from before it is sent.
    pub fn begin(&mut self, key: &QuotaKey, tokens: u64) {
        *self.tokens.entry(key.clone()).or_default() += tokens;
    }

    /// A claim is over: its job is committed and counted as such, or nothing of it was begun.
    pub fn end(&mut self, key: &QuotaKey, tokens: u64) {
        if let Some(pending) = self.tokens.get_mut(key) {
            *pending = pending.saturating_sub(tokens);
            if *pending == 0 {
                self.tokens.remove(key);
            }
        }
    }

    /// What is claimed of a pair.
    pub fn claimed(&self, key: &QuotaKey) -> u64 {
        self.tokens.get(key).copied().unwrap_or(0)
    }

    /// What a shard holds: its unlisted items and what is claimed.
    pub fn add_to(&self, mut waiting: BTreeMap<QuotaKey, u64>) -> BTreeMap<QuotaKey, u64> {
        for (key, tokens) in &self.tokens {
            *waiting.entry(key.clone()).or_default() += tokens;
        }
        waiting
    }
}
