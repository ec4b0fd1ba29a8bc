//! What goes wrong with settlements, for consumers and operators.

use super::Verdict;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Where in a settlement.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PositionRef {
    pub tenant: String,
    pub settlement: String,
    /// 0: the settlement as a whole.
    pub position: u64,
}

impl fmt::Display for PositionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tenant {:?}, settlement {:?}, position {}", self.tenant, self.settlement, self.position)
    }
}

/// Each says where, what happened, and what the consumer or the operator can do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum SettlementError {
    #[error("{at}: X-Addressing has no sound `{field}`: give each field once, as name=value")]
    Field { at: PositionRef, field: String },
    #[error("{0}: positions count from 1: hand it in with its own")]
    Zero(PositionRef),
    #[error(
        "{at}: beyond the {total} that the settlement has: hand in 1 to {total}, or open another settlement"
    )]
    Beyond { at: PositionRef, total: u64 },
    #[error(
        "{at}: {total} was told as the number of all before, {other} now: the first stands; correct the consumer"
    )]
    TwoCounts { at: PositionRef, total: u64, other: u64 },
    #[error("{at}: it was handed in as {first:?} before: use that id and body, or another position")]
    PositionTwice { at: PositionRef, first: String },
    #[error("{at}: closed with {total} messages while this one is missing: hand it in before the closing")]
    Gap { at: PositionRef, total: u64 },
    #[error("{at}: this connection carries settlement {open:?}: close that first, or use another connection")]
    OtherOpen { at: PositionRef, open: String },
    #[error("{0}: the connection has named no settlement: name it on the first message")]
    NotOpened(PositionRef),
    #[error("{0}: the settlement was closed on this connection: open another one")]
    AfterClosing(PositionRef),
    #[error("{at}: a settlement has {most} messages at most: divide it")]
    TooLong { at: PositionRef, most: u64 },
    #[error(
        "{0}: its time was up when it came: hand it in with time left, unless the settlement is broken by now"
    )]
    Late(PositionRef),
    #[error(
        "{at}: the tenant has {waiting} messages ({bytes} bytes) waiting: come again after {after} us, or hand \
             in first what those wait for; operators raise the tenant's limit"
    )]
    TooManyWaiting { at: PositionRef, waiting: u64, bytes: u64, after: Micros },
    #[error(
        "{at}: {open} settlements are open, the most there may be: come again after {after} us, when some \
             have closed"
    )]
    TooManyOpen { at: PositionRef, open: u64, after: Micros },
    #[error("{at}: {pending} messages wait here for their settlements' homes: come again after {after} us")]
    Busy { at: PositionRef, pending: u64, after: Micros },
    #[error(
        "{0}: the home's book has no room for it: come again; operators give the lasting folder more room"
    )]
    StorageFull(PositionRef),
    #[error(
        "{0}: the settlement's home has not answered: hand it in again under the same id, which is harmless"
    )]
    NoReply(PositionRef),
    #[error("{at}: the settlement is over, {verdict}: hand nothing in under this name")]
    Ended { at: PositionRef, verdict: Verdict },
    #[error(
        "{at}: a budget of {budget} leaves no connection to pin for a session: operators raise the budget \
             to {least}, or put the partner into message mode"
    )]
    NoPinnableConnection { at: PositionRef, budget: u32, least: u32 },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Closed { total } => write!(f, "closed with all {total} delivered"),
            Verdict::Broken { at: 0, .. } => {
                write!(f, "broken at a position that is not known (its records are lost): any may have run")
            }
            Verdict::Broken { at, cause } => {
                write!(
                    f,
                    "broken at {at} ({cause:?}): what is before it was delivered, what follows never ran"
                )
            }
        }
    }
}
