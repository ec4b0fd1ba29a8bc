//! Quotas on queued tokens in the term of one primary: the ledger of its shard, and its own claims at other ledgers.

use crate::clock;
use quillmount_batch::{ClaimOutcome, PendingClaims, QuotaLedger};
use quillmount_control::SHARDS;
use quillmount_wire::messages::{Epoch, QuotaClaim, QuotaKey, QuotaStatement};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Quota state of a serving primary. It is only in memory: a new primary rebuilds the ledger from the statements of all shards.
pub struct TermQuota {
    ledger: RefCell<QuotaLedger>,
    pending_claims: RefCell<PendingClaims>,
    last_sequence: Cell<u64>,
}

impl TermQuota {
    /// Creates the state at the start of a term in this epoch.
    pub fn new(epoch: Epoch) -> TermQuota {
        TermQuota {
            ledger: RefCell::new(QuotaLedger::new(epoch, SHARDS as u32)),
            pending_claims: RefCell::default(),
            last_sequence: Cell::new(0),
        }
    }

    /// Returns the sequence number of the next claim or statement. It is derived from the wall clock in microseconds, so that it
    /// also increases across a restart of the process.
    pub fn next_sequence(&self) -> u64 {
        let now = (clock::wall_seconds() * 1e6) as u64;
        self.last_sequence.set(now.max(self.last_sequence.get() + 1));
        self.last_sequence.get()
    }

    /// Counts the tokens of a claim by this primary as reserved until [`TermQuota::end_claim`].
    pub fn begin_claim(&self, key: &QuotaKey, tokens: u64) {
        self.pending_claims.borrow_mut().begin(key, tokens);
    }

    /// Ends a claim that was started by [`TermQuota::begin_claim`].
    pub fn end_claim(&self, key: &QuotaKey, tokens: u64) {
        self.pending_claims.borrow_mut().end(key, tokens);
    }

    /// Returns the tokens of this primary's pending claims for a key.
    pub fn claimed_tokens(&self, key: &QuotaKey) -> u64 {
        self.pending_claims.borrow().claimed(key)
    }

    /// Adds the tokens of this primary's pending claims to the queued tokens.
    pub fn add_pending_claims(&self, queued: BTreeMap<QuotaKey, u64>) -> BTreeMap<QuotaKey, u64> {
        self.pending_claims.borrow().add_to(queued)
    }

    /// Decides a claim at the ledger of this shard; `limit` is the limit according to the local configuration.
    pub fn decide(&self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimOutcome {
        self.ledger.borrow_mut().claim(claim, limit)
    }

    /// Applies a statement to the ledger of this shard.
    pub fn apply_statement(&self, statement: &QuotaStatement) {
        self.ledger.borrow_mut().apply_statement(statement);
    }
}
