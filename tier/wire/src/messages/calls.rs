//! Requests between processes and their responses, for all planes.

use super::encoding::{decode_aligned, encode};
use super::jobs::{ItemOutcome, Job};
use super::node::{DiskId, Epoch, NodeInfo};
use super::poll::{ChangedTables, Poll, Tables};
use super::quota::{QuotaClaim, QuotaStatement};
use super::register::RegisterMessage;
use super::shard::ShardMessage;
use crate::frame::FrameError;
use rkyv::{Archive, Deserialize, Serialize};

/// A request from one process to another.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum Request {
    /// Introduces the sender at the first start of the system; answered by `Announced` with the receiver's identity and whether its
    /// disk is still empty.
    Announce {
        /// Process that sends the announcement.
        node: NodeInfo,
        /// Whether the sender may take part in the first start of the system.
        bootstrap: bool,
    },
    /// Names the address of the sender, which is the primary of the core. Has no response; the receiver verifies the hint by polling
    /// the address.
    PrimaryHint {
        /// Internal address of the primary.
        address: String,
    },
    /// A long poll, answered by `Tables` or `NotPrimary`.
    Poll(Poll),
    /// A message of the register's consensus protocol. Has no response: replies are separate messages.
    Register {
        /// Disk of the sending member.
        from: DiskId,
        /// Internal address of the sender.
        address: String,
        /// Disk of the receiving member; a machine with another disk drops the message.
        to: DiskId,
        /// Message of the consensus protocol.
        message: RegisterMessage,
    },
    /// Submits a job to the primary of its shard; answered by `Done` if it is committed.
    Submit {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view that the sender knows.
        epoch: Epoch,
        /// Job to submit, with all its items.
        job: Job,
    },
    /// Reads results of a job; answered by `Results`.
    Read {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view that the sender knows.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// Tenant that reads; a job of another tenant is reported as not found.
        tenant: String,
        /// Number of results to skip.
        start_after: u64,
        /// Longest time to wait for a further result, milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item as it was submitted; answered by `Body`.
    Body {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view that the sender knows.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// Tenant that reads; a job of another tenant is reported as not found.
        tenant: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job, so that its items without a result do not run any more.
    End {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view that the sender knows.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// Tenant that ends the job; a job of another tenant is reported as not found.
        tenant: String,
    },
    /// Claims a job's tokens from the quota of its tenant; answered by `Done` if they fit, by `Full` if they exceed the limit, and by
    /// `WrongEpoch` if the ledger can't decide.
    Claim(QuotaClaim),
    /// Statements of reserved tokens to a quota ledger. Has no response.
    Statements(Vec<QuotaStatement>),
    /// A message to a member of a shard.
    Shard {
        /// Disk of the receiving member.
        to: DiskId,
        /// Number of the shard.
        shard: u32,
        /// Epoch of the primary that sends the message.
        epoch: Epoch,
        /// Message of the replication protocol.
        message: ShardMessage,
    },
}

/// A response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum Response {
    /// Response to `Announce`.
    Announced {
        /// Process that responds.
        node: NodeInfo,
        /// Whether the process has no control state yet.
        empty: bool,
        /// Processes that have announced themselves to it.
        known_nodes: Vec<NodeInfo>,
    },
    /// Response to `Poll` of the core's primary.
    Tables(Tables),
    /// The process that responds is not the primary of the core, or can't serve the tables now.
    NotPrimary {
        /// Internal address of the primary, if known.
        hint: Option<String>,
    },
    /// The request was meant for another process or another epoch; it changed nothing.
    WrongEpoch,
    /// The request was rejected for lack of capacity; it changed nothing.
    Full,
    /// The request may or may not have taken effect.
    Uncertain,
    /// The request succeeded and returns no data.
    Done,
    /// The job or item does not exist, or belongs to another tenant.
    NotFound,
    /// Response to `Read`, with results of a job.
    Results {
        /// Number of all items of the job, with and without a result.
        total: u64,
        /// Results that follow the skipped ones.
        results: Vec<ItemOutcome>,
    },
    /// Response to `Body`, with the body of an item.
    Body(Vec<u8>),
    /// The operations are durable at the member.
    Replicated {
        /// Number of the next operation that the member expects.
        next: u64,
    },
    /// The member lacks earlier operations, or the request belongs to another session: a repair is needed first.
    Behind,
    /// Response to `CompareBuckets`.
    DifferentBuckets {
        /// Session of the repair.
        session: u64,
        /// Numbers of the buckets that differ.
        buckets: Vec<u32>,
    },
    /// Response to `CompareJobs`, with the ids of jobs that the member lacks or that differ.
    DifferentJobs(Vec<String>),
    /// Response to `Poll` of the core's primary, with deltas from the tables that the sender has.
    ChangedTables(Box<ChangedTables>),
}

impl Request {
    /// Encodes the request as the body of a frame.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a request; `bytes` have to be aligned as in [`crate::frame::aligned_buffer`].
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are not a valid request.
    pub fn decode(bytes: &[u8]) -> Result<Request, FrameError> {
        decode_aligned(bytes)
    }
}

impl Response {
    /// Encodes the response as the body of a frame.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a response; `bytes` have to be aligned as in [`crate::frame::aligned_buffer`].
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are not a valid response.
    pub fn decode(bytes: &[u8]) -> Result<Response, FrameError> {
        decode_aligned(bytes)
    }
}
