//! Claims and statements of waiting tokens, between the primary of a shard and the primary that has the ledger of a tenant and
//! route.

use super::node::Epoch;
use rkyv::{Archive, Deserialize, Serialize};

/// What a limit of waiting tokens applies to: a tenant on a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct QuotaKey {
    /// The tenant.
    pub tenant: String,
    /// Name of the route.
    pub route: String,
}

/// Request of a shard's primary for a job's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// The shard whose primary has the ledger.
    pub ledger_shard: u32,
    /// Epoch of that shard as the sender knows it.
    pub ledger_epoch: Epoch,
    /// The shard that is to take the job.
    pub shard: u32,
    /// Epoch of that shard's primary.
    pub epoch: Epoch,
    /// Increases with each claim and statement of the shard.
    pub sequence: u64,
    /// Tenant and route of the job.
    pub key: QuotaKey,
    /// Tokens of the job.
    pub tokens: u64,
    /// Tokens of the key that the shard has besides, other claims included.
    pub reserved: u64,
    /// Largest number of tokens that may wait, as the sender knows the route.
    pub limit: u64,
}

/// All tokens that a shard has of the keys in one ledger.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaStatement {
    /// The shard whose primary has the ledger.
    pub ledger_shard: u32,
    /// Epoch of that shard as the sender knows it.
    pub ledger_epoch: Epoch,
    /// The shard that states its tokens.
    pub shard: u32,
    /// Epoch of that shard's primary.
    pub epoch: Epoch,
    /// Increases with each claim and statement of the shard.
    pub sequence: u64,
    /// Tokens by key, claims in flight included.
    pub reserved: Vec<(QuotaKey, u64)>,
}
