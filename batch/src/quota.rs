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
pub enum ClaimVerdict {
    /// The tokens count from now on.
    Granted,
    /// They don't fit.
    Exceeded,
    /// This ledger does not know of all shards yet, or the claim is meant for another.
    Unsure,
}

/// What one shard holds, as far as known.
#[derive(Default)]
struct Holding {
    /// Sequence of the newest statement or claim.
    sequence: u64,
    epoch: Epoch,
    tokens: BTreeMap<QuotaKey, u64>,
}

/// The ledger of one reign of a shard's primary, for the pairs that the shard is to keep.
pub struct QuotaLedger {
    /// Epoch in which the primary began to serve: what is meant for an older one is passed over.
    since: Epoch,
    shards: u32,
    holdings: BTreeMap<u32, Holding>,
}

impl QuotaLedger {
    /// An empty ledger for so many shards.
    pub fn new(since: Epoch, shards: u32) -> QuotaLedger {
        QuotaLedger { since, shards, holdings: BTreeMap::new() }
    }

    /// Takes what a shard states: all that it holds of the pairs kept here.
    pub fn state(&mut self, statement: &QuotaStatement) {
        if statement.keeper_epoch < self.since || statement.shard >= self.shards {
            return;
        }
        let holding = self.holdings.entry(statement.shard).or_default();
        if (statement.epoch, statement.sequence) > (holding.epoch, holding.sequence) {
            holding.epoch = statement.epoch;
            holding.sequence = statement.sequence;
            holding.tokens = statement.held.iter().cloned().collect();
        }
    }

    /// Takes a claim; `limit` is what this store knows of the route, if it knows any.
    pub fn claim(&mut self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimVerdict {
        let meant = claim.keeper_epoch >= self.since && claim.shard < self.shards;
        if !meant || self.holdings.len() < self.shards as usize {
            return ClaimVerdict::Unsure;
        }
        let limit = limit.map_or(claim.limit, |limit| limit.min(claim.limit));
        let Some(holding) = self.holdings.get_mut(&claim.shard) else { return ClaimVerdict::Unsure };
        if (claim.epoch, claim.sequence) > (holding.epoch, holding.sequence) {
            holding.epoch = claim.epoch;
            holding.sequence = claim.sequence;
            holding.tokens.insert(claim.key.clone(), claim.held);
        }
        if self.total(&claim.key) + claim.tokens > limit {
            return ClaimVerdict::Exceeded;
        }
        let holding = self.holdings.entry(claim.shard).or_default();
        *holding.tokens.entry(claim.key.clone()).or_default() += claim.tokens;
        ClaimVerdict::Granted
    }

    /// Tokens of a pair over all shards.
    pub fn total(&self, key: &QuotaKey) -> u64 {
        self.holdings.values().filter_map(|holding| holding.tokens.get(key)).sum()
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
    pub fn of(&self, key: &QuotaKey) -> u64 {
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
