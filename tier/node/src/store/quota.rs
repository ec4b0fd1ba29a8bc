//! Quotas on queued tokens across shards: sends claims and statements, and answers them.
//!
//! The number of queued tokens of a tenant on a route is limited across all shards. The ledger of each tenant and route is at
//! the primary of one shard, which is determined by a hash of both names. The primary of the shard that a job is submitted to
//! claims the job's tokens at the ledger before it commits the job ([`claim`]), and regularly states the tokens that its shard
//! has reserved ([`send_statements_periodically`]). A new ledger grants no claim until all shards have sent a statement.

use super::shard::ServedShard;
use super::state::Store;
use super::term::PrimaryTerm;
use quillmount_batch::ClaimOutcome;
use quillmount_control::{SHARDS, shard_of};
use quillmount_dataplane::routes::RouteTable;
use quillmount_wire::messages::{
    Epoch, Job, NodeInfo, QuotaClaim, QuotaKey, QuotaStatement, Request, Response,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two statements.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a claim; a claim without an answer after this time has failed.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// A pending claim. Its tokens count as reserved until this guard is dropped. It must be dropped only after the outcome of the
/// job's commit is known, because from then on the tokens of the committed job count.
pub struct ClaimGuard {
    term: Rc<PrimaryTerm>,
    key: QuotaKey,
    tokens: u64,
}

impl ClaimGuard {
    fn begin(term: &Rc<PrimaryTerm>, key: &QuotaKey, tokens: u64) -> ClaimGuard {
        term.quota.begin_claim(key, tokens);
        ClaimGuard { term: term.clone(), key: key.clone(), tokens }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.term.quota.end_claim(&self.key, self.tokens);
    }
}

/// Reasons why a claim was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The tokens exceed the limit.
    #[error("the tokens of the job exceed the limit on queued tokens of its tenant")]
    Exceeded,
    /// The limit is not known here yet, or the ledger did not answer or can't decide yet; no tokens were reserved.
    #[error("the limit on queued tokens or the decision of its ledger is not known; retry later")]
    Unknown,
}

/// The store that is the primary of a ledger's shard.
struct LedgerPrimary {
    node: NodeInfo,
    /// Epoch of the view of the ledger's shard.
    epoch: Epoch,
}

/// A statement with the address of its receiver.
struct AddressedStatement {
    /// Internal address of the primary that has the ledger.
    address: String,
    statement: QuotaStatement,
}

/// Claims a job's tokens at the ledger; `None` if the job's route has no limit on queued tokens. A route that the configuration of
/// this store does not have may be a new one. It is taken for one with a limit if other routes have one.
///
/// # Errors
/// [`ClaimError::Exceeded`] if the tokens exceed the limit, [`ClaimError::Unknown`] if the ledger gave no decision or the limit is not
/// known here.
pub async fn claim(
    store: &Rc<Store>,
    served: &ServedShard,
    job: &Job,
) -> Result<Option<ClaimGuard>, ClaimError> {
    let tables = store.node.tables();
    if tables.routes.by_name(&job.route).is_none() && tables.routes.limits_queued_tokens() {
        return Err(ClaimError::Unknown);
    }
    let Some(limit) = queued_token_limit(&tables.routes, &job.route) else { return Ok(None) };
    let key = QuotaKey { tenant: job.tenant.clone(), route: job.route.clone() };
    let tokens = job.tokens();
    let ledger_shard = ledger_shard_of(&key);
    let ledger = ledger_primary(store, ledger_shard).ok_or(ClaimError::Unknown)?;
    let quota = &served.term.quota;
    let (epoch, queued) = {
        let replica = served.shard.replica();
        let epoch = replica.serving().ok_or(ClaimError::Unknown)?;
        (epoch, replica.jobs().waiting_tokens().get(&key).copied().unwrap_or(0))
    };
    let reserved = queued.saturating_add(quota.claimed_tokens(&key));
    let guard = ClaimGuard::begin(&served.term, &key, tokens);
    let claim = QuotaClaim {
        ledger_shard,
        ledger_epoch: ledger.epoch,
        shard: served.shard.number,
        epoch,
        sequence: quota.next_sequence(),
        key,
        tokens,
        reserved,
        limit,
    };
    match send_claim(store, &ledger.node, claim).await {
        Response::Done => Ok(Some(guard)),
        Response::Full => Err(ClaimError::Exceeded),
        _ => Err(ClaimError::Unknown),
    }
}

/// Answers a claim if this store is the primary that has the ledger, otherwise with [`Response::WrongEpoch`].
pub fn answer(store: &Store, claim: &QuotaClaim) -> Response {
    let Some(term) = store.shards.get(claim.ledger_shard as usize).and_then(|shard| shard.term()) else {
        return Response::WrongEpoch;
    };
    let limit = queued_token_limit(&store.node.tables().routes, &claim.key.route);
    match term.quota.decide(claim, limit) {
        ClaimOutcome::Granted => Response::Done,
        ClaimOutcome::Exceeded => Response::Full,
        ClaimOutcome::Unknown => Response::WrongEpoch,
    }
}

/// Applies statements to the ledgers at this store; those for other ledgers are ignored.
pub fn apply_statements(store: &Store, statements: &[QuotaStatement]) {
    for statement in statements {
        let term = store.shards.get(statement.ledger_shard as usize).and_then(|shard| shard.term());
        if let Some(term) = term {
            term.quota.apply_statement(statement);
        }
    }
}

/// Regularly sends statements of the tokens that the shards served here have reserved, until the process ends. Sends none while
/// no route has a limit on queued tokens.
pub async fn send_statements_periodically(store: Rc<Store>) {
    loop {
        tokio::time::sleep(STATEMENT_INTERVAL).await;
        if store.node.tables().routes.limits_queued_tokens() {
            send_statements(&store);
        }
    }
}

/// Returns the limit on a tenant's queued tokens on a route, if there is one.
fn queued_token_limit(routes: &RouteTable, route: &str) -> Option<u64> {
    routes.by_name(route).and_then(|route| route.route.queued_token_limit())
}

/// Returns the shard whose primary has the ledger for a tenant and route.
fn ledger_shard_of(key: &QuotaKey) -> u32 {
    shard_of(&format!("{}/{}", key.tenant, key.route), SHARDS)
}

fn ledger_primary(store: &Store, ledger_shard: u32) -> Option<LedgerPrimary> {
    let tables = store.node.tables();
    let view = tables.placement.shards.get(ledger_shard as usize)?;
    let node = tables.placement.stores.iter().find(|node| node.disk == view.primary)?;
    Some(LedgerPrimary { node: node.clone(), epoch: view.epoch })
}

async fn send_claim(store: &Rc<Store>, ledger: &NodeInfo, claim: QuotaClaim) -> Response {
    if ledger.disk == store.node.info.disk {
        return answer(store, &claim);
    }
    let answer = store.node.links.call(&ledger.internal, &Request::Claim(claim), CLAIM_TIMEOUT).await;
    answer.unwrap_or(Response::WrongEpoch)
}

fn send_statements(store: &Rc<Store>) {
    let mut outgoing: HashMap<String, Vec<QuotaStatement>> = HashMap::new();
    for served in store.shards.iter().filter_map(|shard| shard.served()) {
        for AddressedStatement { address, statement } in statements(store, &served) {
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

/// Creates the statements of one shard for all ledgers, including those without reserved tokens.
fn statements(store: &Store, served: &ServedShard) -> Vec<AddressedStatement> {
    let replica = served.shard.replica();
    let Some(epoch) = replica.serving() else { return Vec::new() };
    let quota = &served.term.quota;
    let reserved = quota.add_pending_claims(replica.jobs().waiting_tokens());
    let mut by_ledger_shard: BTreeMap<u32, Vec<(QuotaKey, u64)>> = BTreeMap::new();
    for (key, tokens) in reserved {
        by_ledger_shard.entry(ledger_shard_of(&key)).or_default().push((key, tokens));
    }
    let sequence = quota.next_sequence();
    let statement = |ledger_shard: u32| {
        let ledger = ledger_primary(store, ledger_shard)?;
        let statement = QuotaStatement {
            ledger_shard,
            ledger_epoch: ledger.epoch,
            shard: served.shard.number,
            epoch,
            sequence,
            reserved: by_ledger_shard.get(&ledger_shard).cloned().unwrap_or_default(),
        };
        Some(AddressedStatement { address: ledger.node.internal, statement })
    };
    (0..SHARDS as u32).filter_map(statement).collect()
}
