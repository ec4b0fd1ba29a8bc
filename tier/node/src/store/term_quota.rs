//! Quotas on waiting tokens in one primary's term: the ledger of its shard, and its own claims at others.

use crate::clock;
use quillmount_batch::{ClaimOutcome, PendingClaims, QuotaLedger};
use quillmount_control::SHARDS;
use quillmount_wire::messages::{Epoch, QuotaClaim, QuotaKey, QuotaStatement};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Quota state of a serving primary. It is in memory only: a ledger is rebuilt from the statements of all shards.
pub struct TermQuota {
    ledger: RefCell<QuotaLedger>,
    pending: RefCell<PendingClaims>,
    last_sequence: Cell<u64>,
}

impl TermQuota {
    /// The state at the start of a term, in epoch `since`.
    pub fn new(since: Epoch) -> TermQuota {
        TermQuota {
            ledger: RefCell::new(QuotaLedger::new(since, SHARDS as u32)),
            pending: RefCell::default(),
            last_sequence: Cell::new(0),
        }
    }

    /// The sequence number of the next claim or statement. It follows the time of day, microseconds, so that it also rises
    /// over a restart of the process.
    pub fn next_sequence(&self) -> u64 {
        let now = (clock::wall_seconds() * 1e6) as u64;
        self.last_sequence.set(now.max(self.last_sequence.get() + 1));
        self.last_sequence.get()
    }

    /// Counts the tokens of a claim that is made here, until [`TermQuota::end_claim`].
    pub fn begin_claim(&self, key: &QuotaKey, tokens: u64) {
        self.pending.borrow_mut().begin(key, tokens);
    }

    /// Ends a claim that was begun here.
    pub fn end_claim(&self, key: &QuotaKey, tokens: u64) {
        self.pending.borrow_mut().end(key, tokens);
    }

    /// Tokens of the claims that are pending here.
    pub fn claimed(&self, key: &QuotaKey) -> u64 {
        self.pending.borrow().claimed(key)
    }

    /// Adds the claims that are pending here to the tokens that wait.
    pub fn add_pending(&self, waiting: BTreeMap<QuotaKey, u64>) -> BTreeMap<QuotaKey, u64> {
        self.pending.borrow().add_to(waiting)
    }

    /// Decides a claim at the ledger of this shard, against the limit that is known here.
    pub fn decide(&self, claim: &QuotaClaim, limit: Option<u64>) -> ClaimOutcome {
        self.ledger.borrow_mut().claim(claim, limit)
    }

    /// Enters a statement in the ledger of this shard.
    pub fn apply_statement(&self, statement: &QuotaStatement) {
        self.ledger.borrow_mut().apply_statement(statement);
    }
}
