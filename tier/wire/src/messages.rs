//! Messages between couriers, core members and stores, grouped by plane. Some of these types are also part of the stored batch and
//! control state.
//!
//! The encoding is `rkyv`: the order of fields and variants and the types of fields determine the wire format and the storage format;
//! names do not matter. Variants and fields must never be reordered; `tests/message_bytes.rs` compares the encoded bytes with
//! fixtures.

mod calls;
mod delta;
mod directory;
mod encoding;
mod jobs;
mod node;
mod placement;
mod poll;
mod quota;
mod register;
mod shard;

pub use calls::{Request, Response};
pub use delta::{Delta, DeltaError, DeltaStep};
pub use directory::{DirectoryUpdate, Endpoint};
pub use encoding::{decode, encode};
pub use jobs::{Item, ItemOutcome, ItemResult, Job, JobPart, JobState, Phase, ShardOperation};
pub use node::{DiskId, Epoch, NodeInfo, NodeRole};
pub use placement::{Placement, ShardReport, ShardView};
pub use poll::{
    ChangedTables, DirectoryVersion, Poll, ServiceLoad, TableVersions, Tables, UsageWindow, Versioned,
};
pub use quota::{QuotaClaim, QuotaKey, QuotaStatement};
pub use register::{Accepted, Register, RegisterMessage, RegisterValue};
pub use shard::{BucketDigest, ShardMessage};
