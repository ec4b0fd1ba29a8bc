//! Bounds on waiting tokens, on sockets: claims and statements of the shards that this store leads, and the ledgers that it
//! keeps.

use super::Store;
use super::reign::Reign;
use crate::clock;
use quillmount_batch::{ClaimVerdict, PendingClaims, QuotaLedger};
use quillmount_control::{SHARDS, shard_of};
use quillmount_wire::messages::{
    Epoch, Job, NodeInfo, QuotaClaim, QuotaKey, QuotaStatement, Request, Response,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two statements.
const STATE_PAUSE: Duration = Duration::from_millis(200);
/// A claim without an answer for so long is given up.
const CLAIM_TIME: Duration = Duration::from_millis(400);

/// What a primary that serves keeps of quotas: the ledger of its shard, and its own claims.
pub struct ReignQuota {
    ledger: RefCell<QuotaLedger>,
    pending: RefCell<PendingClaims>,
    sequence: Cell<u64>,
}

impl ReignQuota {
    /// Begins with a reign.
    pub fn new(since: Epoch) -> ReignQuota {
        ReignQuota {
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
fn keeper_of(key: &QuotaKey) -> u32 {
    shard_of(&format!("{}/{}", key.tenant, key.route), SHARDS)
}

/// Where the ledger of a shard is kept, and the shard's epoch.
fn keeper(store: &Store, shard: u32) -> Option<(NodeInfo, Epoch)> {
    let tables = store.node.tables();
    let view = tables.placement.shards.get(shard as usize)?;
    let node = tables.placement.stores.iter().find(|node| node.disk == view.primary)?;
    Some((node.clone(), view.epoch))
}

/// A claim that was granted; it ends when this is dropped, after the job's outcome.
pub struct Claimed {
    reign: Rc<Reign>,
    key: QuotaKey,
    tokens: u64,
}

impl Drop for Claimed {
    fn drop(&mut self) {
        self.reign.quota.pending.borrow_mut().end(&self.key, self.tokens);
    }
}

/// Why a job is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Its tokens don't fit.
    Exceeded,
    /// Whether they fit is not known now: nothing was begun.
    Unsure,
}

/// Claims a job's tokens, where its route limits them.
pub async fn claim(store: &Rc<Store>, reign: &Rc<Reign>, job: &Job) -> Result<Option<Claimed>, ClaimError> {
    let tables = store.node.tables();
    let limit = tables.routes.by_name(&job.route).and_then(|route| route.route.waiting_limit());
    let Some(limit) = limit else { return Ok(None) };
    let key = QuotaKey { tenant: job.tenant.clone(), route: job.route.clone() };
    let tokens = job.items.iter().map(|item| item.tokens).sum();
    let quota = &reign.quota;
    let keeper_shard = keeper_of(&key);
    let (node, keeper_epoch) = keeper(store, keeper_shard).ok_or(ClaimError::Unsure)?;
    let (epoch, waiting) = {
        let replica = reign.shard.replica();
        let epoch = replica.serving().ok_or(ClaimError::Unsure)?;
        (epoch, replica.jobs().waiting_tokens().get(&key).copied().unwrap_or(0))
    };
    let held = waiting + quota.pending.borrow().of(&key);
    quota.pending.borrow_mut().begin(&key, tokens);
    let claimed = Claimed { reign: reign.clone(), key: key.clone(), tokens };
    let sequence = quota.next_sequence();
    let shard = reign.shard.number;
    let claim =
        QuotaClaim { keeper: keeper_shard, keeper_epoch, shard, epoch, sequence, key, tokens, held, limit };
    let answer = if node.disk == store.node.info.disk {
        answer(store, &claim)
    } else {
        let call = store.node.links.call(&node.internal, &Request::Claim(claim), CLAIM_TIME).await;
        call.unwrap_or(Response::WrongEpoch)
    };
    match answer {
        Response::Done => Ok(Some(claimed)),
        Response::Full => Err(ClaimError::Exceeded),
        _ => Err(ClaimError::Unsure),
    }
}

/// Answers a claim at the ledger's keeper.
pub fn answer(store: &Store, claim: &QuotaClaim) -> Response {
    let Some(reign) = store.shards.get(claim.keeper as usize).and_then(|shard| shard.reign()) else {
        return Response::WrongEpoch;
    };
    let tables = store.node.tables();
    let limit = tables.routes.by_name(&claim.key.route).and_then(|route| route.route.waiting_limit());
    let verdict = reign.quota.ledger.borrow_mut().claim(claim, limit);
    match verdict {
        ClaimVerdict::Granted => Response::Done,
        ClaimVerdict::Exceeded => Response::Full,
        ClaimVerdict::Unsure => Response::WrongEpoch,
    }
}

/// Takes statements at the ledgers' keeper.
pub fn take_statements(store: &Store, statements: &[QuotaStatement]) {
    for statement in statements {
        let reign = store.shards.get(statement.keeper as usize).and_then(|shard| shard.reign());
        if let Some(reign) = reign {
            reign.quota.ledger.borrow_mut().state(statement);
        }
    }
}

/// States what the shards led here hold, for as long as the process lives; nothing where no route limits tokens.
pub async fn state_all(store: Rc<Store>) {
    loop {
        tokio::time::sleep(STATE_PAUSE).await;
        if store.node.tables().routes.limits_waiting() {
            send_statements(&store);
        }
    }
}

fn send_statements(store: &Rc<Store>) {
    let mut outgoing: HashMap<String, Vec<QuotaStatement>> = HashMap::new();
    for reign in store.shards.iter().filter_map(|shard| shard.reign()) {
        for (address, statement) in statements(store, &reign) {
            outgoing.entry(address).or_default().push(statement);
        }
    }
    for (address, statements) in outgoing {
        if address == store.node.info.internal {
            take_statements(store, &statements);
        } else {
            store.node.links.notify(&address, &Request::Statements(statements));
        }
    }
}

/// What one shard states to each keeper.
fn statements(store: &Store, reign: &Reign) -> Vec<(String, QuotaStatement)> {
    let replica = reign.shard.replica();
    let Some(epoch) = replica.serving() else { return Vec::new() };
    let held = reign.quota.pending.borrow().add_to(replica.jobs().waiting_tokens());
    let mut by_keeper: BTreeMap<u32, Vec<(QuotaKey, u64)>> = BTreeMap::new();
    for (key, tokens) in held {
        by_keeper.entry(keeper_of(&key)).or_default().push((key, tokens));
    }
    let sequence = reign.quota.next_sequence();
    let shard = reign.shard.number;
    let statement = |keeper_shard: u32| {
        let (node, keeper_epoch) = keeper(store, keeper_shard)?;
        let held = by_keeper.get(&keeper_shard).cloned().unwrap_or_default();
        let statement = QuotaStatement { keeper: keeper_shard, keeper_epoch, shard, epoch, sequence, held };
        Some((node.internal, statement))
    };
    (0..SHARDS as u32).filter_map(statement).collect()
}
