//! Quota of waiting tokens: the number of tokens that a tenant may have waiting on a route, counted over all
//! shards.
//!
//! For each tenant and route, the primary of one designated shard holds the ledger. Before the primary of any shard
//! accepts a job, it claims the job's tokens from the ledger; it also sends the ledger a periodic statement of all
//! tokens reserved in its shard. A new ledger starts empty and grants no claim until it has received a statement
//! from every shard that names this ledger; from then on no shard sends claims to an earlier ledger. All counts err
//! upwards: claimed tokens count until the outcome of the claim is certain.

use quillmount_wire::messages::{Epoch, QuotaClaim, QuotaKey, QuotaStatement};
use std::collections::BTreeMap;

/// Outcome of a claim for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The tokens are reserved.
    Granted,
    /// The tokens would exceed the limit.
    Exceeded,
    /// The ledger lacks statements of some shards, or the claim is for an earlier ledger.
    Unknown,
}

/// The reserved tokens of one shard, as last stated or claimed.
#[derive(Default)]
struct ShardReservations {
    /// Epoch of the newest statement or claim.
    epoch: Epoch,
    /// Sequence number of the newest statement or claim.
    sequence: u64,
    tokens: BTreeMap<QuotaKey, u64>,
}

impl ShardReservations {
    /// Records the epoch and sequence number of a statement or claim; returns `false` if it is not newer than the
    /// newest one.
    fn advance_to(&mut self, epoch: Epoch, sequence: u64) -> bool {
        if (epoch, sequence) <= (self.epoch, self.sequence) {
            return false;
        }
        self.epoch = epoch;
        self.sequence = sequence;
        true
    }
}

/// The ledger of a shard's primary during one term, for the tenants and routes that the shard is designated for.
pub struct QuotaLedger {
    /// Epoch in which the primary started to serve; statements and claims for an earlier ledger are ignored.
    serving_since: Epoch,
    shard_count: u32,
    /// Reservations by shard index; a shard without a statement has no entry.
    reservations: BTreeMap<u32, ShardReservations>,
}

impl QuotaLedger {
    /// Creates an empty ledger for a primary that serves since the epoch `serving_since`, in a system of
    /// `shard_count` shards.
    pub fn new(serving_since: Epoch, shard_count: u32) -> QuotaLedger {
        QuotaLedger { serving_since, shard_count, reservations: BTreeMap::new() }
    }

    /// Replaces the reserved tokens of a shard by those of the statement, unless it is for an earlier ledger or out
    /// of date.
    pub fn apply_statement(&mut self, statement: &QuotaStatement) {
        if statement.ledger_epoch < self.serving_since || statement.shard >= self.shard_count {
            return;
        }
        let reservation = self.reservations.entry(statement.shard).or_default();
        if reservation.advance_to(statement.epoch, statement.sequence) {
            reservation.tokens = statement.reserved.iter().cloned().collect();
        }
    }

    /// Reserves the tokens of a claim if they fit. `limit` is the route's limit in this store's configuration, if
    /// it has one; the lower of it and the limit in the claim applies.
    #[must_use]
    pub fn claim(&mut self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimOutcome {
        let is_addressed_here = claim.ledger_epoch >= self.serving_since && claim.shard < self.shard_count;
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

    /// Returns the reserved tokens of a tenant and route, summed over all shards.
    pub fn total(&self, key: &QuotaKey) -> u64 {
        let reserved = self.reservations.values().filter_map(|reservation| reservation.tokens.get(key));
        reserved.copied().fold(0, u64::saturating_add)
    }
}

/// Claims of a shard's primary, during one term, whose outcome is not yet certain.
#[derive(Default)]
pub struct PendingClaims {
    tokens: BTreeMap<QuotaKey, u64>,
}

impl PendingClaims {
    /// Adds a claim; must be called before the claim is sent.
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

    /// Returns the claimed tokens of a tenant and route.
    pub fn claimed(&self, key: &QuotaKey) -> u64 {
        self.tokens.get(key).copied().unwrap_or(0)
    }

    /// Returns the sum of the claimed tokens and the tokens of waiting items, by tenant and route.
    pub fn add_to(&self, mut waiting: BTreeMap<QuotaKey, u64>) -> BTreeMap<QuotaKey, u64> {
        for (key, tokens) in &self.tokens {
            add_tokens(&mut waiting, key, *tokens);
        }
        waiting
    }
}

/// Adds tokens to the total of a key. The total saturates at `u64::MAX`, because a quota must not count too few
/// tokens.
pub(crate) fn add_tokens(totals: &mut BTreeMap<QuotaKey, u64>, key: &QuotaKey, tokens: u64) {
    let total = totals.entry(key.clone()).or_default();
    *total = total.saturating_add(tokens);
}
