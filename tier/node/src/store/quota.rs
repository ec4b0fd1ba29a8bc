//! Bounds on waiting tokens, on sockets: claims and statements of the shards that this store leads, and the ledgers that it
//! keeps.

use super::Store;
use super::term::PrimaryTerm;
use crate::clock;
use quillmount_batch::{ClaimOutcome, PendingClaims, QuotaLedger};
use quillmount_control::{SHARDS, shard_of};
use quillmount_wire::messages::{
    Epoch, Job, NodeInfo, QuotaClaim, QuotaKey, QuotaStatement, Request, Response,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two statements.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// A claim without an answer for so long is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// What a primary that serves keeps of quotas: the ledger of its shard, and its own claims.
pub struct TermQuota {
    ledger: RefCell<QuotaLedger>,
    pending: RefCell<PendingClaims>,
    sequence: Cell<u64>,
}

impl TermQuota {
    /// Begins with a term.
    pub fn new(since: Epoch) -> TermQuota {
        TermQuota {
            ledger: RefCell::new(QuotaLedger::new(since, SHARDS as u32)),
            pending: RefCell::default(),
            sequence: Cell::new(0),
        }
    }

    /// Rises, also over a restart of the process: by the time of day.
    fn next_sequence(&self) -> u64 {
        let now = (clock::wall_seconds() * 1e6) as u64;
        self.sequence.set(now.max(self.sequence.get() + 1));
        self.sequence.get()
    }
}

/// The shard whose primary keeps the ledger of a pair.
fn ledger_shard_of(key: &QuotaKey) -> u32 {
    shard_of(&format!("{}/{}", key.tenant, key.route), SHARDS)
}

/// Where the ledger of a shard is kept, and the shard's epoch.
fn ledger_primary(store: &Store, shard: u32) -> Option<(NodeInfo, Epoch)> {
    let tables = store.node.tables();
    let view = tables.placement.shards.get(shard as usize)?;
    let node = tables.placement.stores.iter().find(|node| node.disk == view.primary)?;
    Some((node.clone(), view.epoch))
}

/// A claim that was granted; it ends when this is dropped, after the job's outcome.
pub struct ClaimGuard {
    term: Rc<PrimaryTerm>,
    key: QuotaKey,
    tokens: u64,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.term.quota.pending.borrow_mut().end(&self.key, self.tokens);
    }
}

/// Why a job is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Its tokens don't fit.
    Exceeded,
    /// Whether they fit is not known now: nothing was begun.
    Unknown,
}

/// Claims a job's tokens, where its route limits them.
pub async fn claim(
    store: &Rc<Store>,
    term: &Rc<PrimaryTerm>,
    job: &Job,
) -> Result<Option<ClaimGuard>, ClaimError> {
    let tables = store.node.tables();
    let limit = tables.routes.by_name(&job.route).and_then(|route| route.route.waiting_limit());
    let Some(limit) = limit else { return Ok(None) };
    let key = QuotaKey { tenant: job.tenant.clone(), route: job.route.clone() };
    let tokens = job.items.iter().map(|item| item.tokens).sum();
    let quota = &term.quota;
    let ledger_shard = ledger_shard_of(&key);
    let (node, ledger_epoch) = ledger_primary(store, ledger_shard).ok_or(ClaimError::Unknown)?;
    let (epoch, waiting) = {
        let replica = term.shard.replica();
        let epoch = replica.serving().ok_or(ClaimError::Unknown)?;
        (epoch, replica.jobs().waiting_tokens().get(&key).copied().unwrap_or(0))
    };
    let reserved = waiting + quota.pending.borrow().claimed(&key);
    quota.pending.borrow_mut().begin(&key, tokens);
    let claimed = ClaimGuard { term: term.clone(), key: key.clone(), tokens };
    let sequence = quota.next_sequence();
    let shard = term.shard.number;
    let claim =
        QuotaClaim { ledger_shard, ledger_epoch, shard, epoch, sequence, key, tokens, reserved, limit };
    let answer = if node.disk == store.node.info.disk {
        answer(store, &claim)
    } else {
        let call = store.node.links.call(&node.internal, &Request::Claim(claim), CLAIM_TIMEOUT).await;
        call.unwrap_or(Response::WrongEpoch)
    };
    match answer {
        Response::Done => Ok(Some(claimed)),
        Response::Full => Err(ClaimError::Exceeded),
        _ => Err(ClaimError::Unknown),
    }
}

/// Answers a claim at the ledger's primary.
pub fn answer(store: &Store, claim: &QuotaClaim) -> Response {
    let Some(term) = store.shards.get(claim.ledger_shard as usize).and_then(|shard| shard.term()) else {
        return Response::WrongEpoch;
    };
    let tables = store.node.tables();
    let limit = tables.routes.by_name(&claim.key.route).and_then(|route| route.route.waiting_limit());
    let outcome = term.quota.ledger.borrow_mut().claim(claim, limit);
    match outcome {
        ClaimOutcome::Granted => Response::Done,
        ClaimOutcome::Exceeded => Response::Full,
        ClaimOutcome::Unknown => Response::WrongEpoch,
    }
}

/// Takes statements at the ledgers' primary.
pub fn apply_statements(store: &Store, statements: &[QuotaStatement]) {
    for statement in statements {
        let term = store.shards.get(statement.ledger_shard as usize).and_then(|shard| shard.term());
        if let Some(term) = term {
            term.quota.ledger.borrow_mut().apply_statement(statement);
        }
    }
}

/// States what the shards led here hold, for as long as the process lives; nothing where no route limits tokens.
pub async fn send_statements_periodically(store: Rc<Store>) {
    loop {
        tokio::time::sleep(STATEMENT_INTERVAL).await;
        if store.node.tables().routes.limits_waiting() {
            send_statements(&store);
        }
    }
}

fn send_statements(store: &Rc<Store>) {
    let mut outgoing: HashMap<String, Vec<QuotaStatement>> = HashMap::new();
    for term in store.shards.iter().filter_map(|shard| shard.term()) {
        for (address, statement) in statements(store, &term) {
            outgoing.entry(address).or_default().push(statement);
        }
    }
    for (address, statements) in outgoing {
        if address == store.node.info.internal {
            apply_statements(store, &statements);
        } else {
            store.node.links.notify(&address, &Request::Statements(statements));
        }
    }
}

/// What one shard states to each ledger's primary.
fn statements(store: &Store, term: &PrimaryTerm) -> Vec<(String, QuotaStatement)> {
    let replica = term.shard.replica();
    let Some(epoch) = replica.serving() else { return Vec::new() };
    let reserved = term.quota.pending.borrow().add_to(replica.jobs().waiting_tokens());
    let mut by_ledger_shard: BTreeMap<u32, Vec<(QuotaKey, u64)>> = BTreeMap::new();
    for (key, tokens) in reserved {
        by_ledger_shard.entry(ledger_shard_of(&key)).or_default().push((key, tokens));
    }
    let sequence = term.quota.next_sequence();
    let shard = term.shard.number;
    let statement = |ledger_shard: u32| {
        let (node, ledger_epoch) = ledger_primary(store, ledger_shard)?;
        let reserved = by_ledger_shard.get(&ledger_shard).cloned().unwrap_or_default();
        let statement = QuotaStatement { ledger_shard, ledger_epoch, shard, epoch, sequence, reserved };
        Some((node.internal, statement))
    };
    (0..SHARDS as u32).filter_map(statement).collect()
}
