//! Quota of waiting tokens: how many tokens a tenant may have waiting on a route, counted over all shards.
//!
//! For each tenant and route, one shard is chosen whose primary has the ledger. The primary of any shard claims a job's tokens at the
//! ledger before it accepts the job, and states periodically all tokens that its shard has. A new ledger starts empty and grants
//! nothing until it has a statement of every shard that was addressed to it; from then on no claim goes to an earlier ledger. All
//! figures err upwards: claimed tokens count until the outcome of the claim is certain.

use quillmount_wire::messages::{Epoch, QuotaClaim, QuotaKey, QuotaStatement};
use std::collections::BTreeMap;

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The tokens are reserved.
    Granted,
    /// The tokens do not fit within the limit.
    Exceeded,
    /// This ledger lacks statements of some shards, or the claim is for an earlier ledger.
    Unknown,
}

/// Tokens of one shard as the ledger knows them.
#[derive(Default)]
struct ShardReservations {
    /// Epoch of the newest statement or claim.
    epoch: Epoch,
    /// Sequence number of the newest statement or claim.
    sequence: u64,
    tokens: BTreeMap<QuotaKey, u64>,
}

impl ShardReservations {
    /// Notes the position of a statement or claim; `false` if it is not newer than the newest one.
    fn advance_to(&mut self, epoch: Epoch, sequence: u64) -> bool {
        if (epoch, sequence) <= (self.epoch, self.sequence) {
            return false;
        }
        self.epoch = epoch;
        self.sequence = sequence;
        true
    }
}

/// The ledger of one term of a shard's primary, for the keys that the shard is chosen for.
pub struct QuotaLedger {
    /// Epoch in which the primary started to serve: statements and claims for an earlier one are ignored.
    since: Epoch,
    /// Number of shards of the system.
    shard_count: u32,
    /// By number of the shard.
    reservations: BTreeMap<u32, ShardReservations>,
}

impl QuotaLedger {
    /// An empty ledger of the primary that serves since this epoch.
    pub fn new(since: Epoch, shard_count: u32) -> QuotaLedger {
        QuotaLedger { since, shard_count, reservations: BTreeMap::new() }
    }

    /// Replaces the tokens of a shard by those that it states, unless the statement is for an earlier ledger or out of date.
    pub fn apply_statement(&mut self, statement: &QuotaStatement) {
        if statement.ledger_epoch < self.since || statement.shard >= self.shard_count {
            return;
        }
        let reservation = self.reservations.entry(statement.shard).or_default();
        if reservation.advance_to(statement.epoch, statement.sequence) {
            reservation.tokens = statement.reserved.iter().cloned().collect();
        }
    }

    /// Reserves the tokens of a claim if they fit. `limit` is the route's limit as this store knows it, if it does; the lower of it and
    /// the claim's own counts.
    #[must_use]
    pub fn claim(&mut self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimOutcome {
        let is_addressed_here = claim.ledger_epoch >= self.since && claim.shard < self.shard_count;
        if !is_addressed_here || self.reservations.len() < self.shard_count as usize {
            return ClaimOutcome::Unknown;
        }
        let limit = limit.map_or(claim.limit, |limit| limit.min(claim.limit));
        let Some(reservation) = self.reservations.get_mut(&claim.shard) else { return ClaimOutcome::Unknown };
        if reservation.advance_to(claim.epoch, claim.sequence) {
            reservation.tokens.insert(claim.key.clone(), claim.reserved);
        }
        if self.total(&claim.key).saturating_add(claim.tokens) > limit {
            return ClaimOutcome::Exceeded;
        }
        let reservation = self.reservations.entry(claim.shard).or_default();
        add_tokens(&mut reservation.tokens, &claim.key, claim.tokens);
        ClaimOutcome::Granted
    }

    /// Tokens of a key over all shards.
    pub fn total(&self, key: &QuotaKey) -> u64 {
        let reserved = self.reservations.values().filter_map(|reservation| reservation.tokens.get(key));
        reserved.copied().fold(0, u64::saturating_add)
    }
}

/// Claims of one shard's primary, during one term, whose outcome is not yet certain.
#[derive(Default)]
pub struct PendingClaims {
    tokens: BTreeMap<QuotaKey, u64>,
}

impl PendingClaims {
    /// Adds a claim; to be called before it is sent.
    pub fn begin(&mut self, key: &QuotaKey, tokens: u64) {
        add_tokens(&mut self.tokens, key, tokens);
    }

    /// Removes a claim: its job is committed and counted as waiting, or was not started.
    pub fn end(&mut self, key: &QuotaKey, tokens: u64) {
        if let Some(pending) = self.tokens.get_mut(key) {
            *pending = pending.saturating_sub(tokens);
            if *pending == 0 {
                self.tokens.remove(key);
            }
        }
    }

    /// Tokens claimed of a key.
    pub fn claimed(&self, key: &QuotaKey) -> u64 {
        self.tokens.get(key).copied().unwrap_or(0)
    }

    /// Adds the claimed tokens to those of items that wait.
    pub fn add_to(&self, mut waiting: BTreeMap<QuotaKey, u64>) -> BTreeMap<QuotaKey, u64> {
        for (key, tokens) in &self.tokens {
            add_tokens(&mut waiting, key, *tokens);
        }
        waiting
    }
}

/// Adds tokens to those of a key. What does not fit counts as the largest number: a quota errs upwards.
pub(crate) fn add_tokens(all: &mut BTreeMap<QuotaKey, u64>, key: &QuotaKey, tokens: u64) {
    let sum = all.entry(key.clone()).or_default();
    *sum = sum.saturating_add(tokens);
}
