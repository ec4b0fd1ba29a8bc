//! Claims and statements of queued tokens. The primary of a shard sends them to the primary that has the quota ledger of a tenant
//! and route.

use super::node::Epoch;
use rkyv::{Archive, Deserialize, Serialize};

/// Key of a quota: the limit on queued tokens applies to each tenant on each route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct QuotaKey {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the route.
    pub route: String,
}

/// Claim of a shard's primary for the tokens of a job.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// Shard whose primary has the ledger.
    pub ledger_shard: u32,
    /// Epoch of that shard's view that the sender knows.
    pub ledger_epoch: Epoch,
    /// Shard that the job is submitted to.
    pub shard: u32,
    /// Epoch of that shard's primary.
    pub epoch: Epoch,
    /// Sequence number, which increases with each claim and statement of the shard.
    pub sequence: u64,
    /// Tenant and route of the job.
    pub key: QuotaKey,
    /// Sum of the tokens of the job's items.
    pub tokens: u64,
    /// Other tokens of the key that the shard has reserved, including other claims.
    pub reserved: u64,
    /// Largest number of queued tokens according to the sender's configuration of the route.
    pub limit: u64,
}

/// Statement of all tokens that a shard has reserved for the keys of one ledger.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaStatement {
    /// Shard whose primary has the ledger.
    pub ledger_shard: u32,
    /// Epoch of that shard's view that the sender knows.
    pub ledger_epoch: Epoch,
    /// Shard that states its tokens.
    pub shard: u32,
    /// Epoch of that shard's primary.
    pub epoch: Epoch,
    /// Sequence number, which increases with each claim and statement of the shard.
    pub sequence: u64,
    /// Reserved tokens by key, including claims in flight.
    pub reserved: Vec<(QuotaKey, u64)>,
}
