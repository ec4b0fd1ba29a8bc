//! The calls between processes: requests and their responses, of all planes.

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
    /// Asks for the receiver's identity and whether its disk is still empty; introduces the sender. For the first start.
    Announce {
        /// The sender.
        node: NodeInfo,
        /// The sender may take part in the first start of the system.
        bootstrap: bool,
    },
    /// The sender is the primary of the core. Has no response; it is a hint that the receiver verifies by polling the address.
    PrimaryHint {
        /// Internal address of the primary.
        address: String,
    },
    /// A long poll, answered by `Tables` or `NotPrimary`.
    Poll(Poll),
    /// A message of the register. Has no response: replies are messages of their own.
    Register {
        /// The sending member.
        from: DiskId,
        /// Internal address of the sender.
        address: String,
        /// The receiving member.
        to: DiskId,
        /// The message.
        message: RegisterMessage,
    },
    /// Submits a job to the primary of its shard.
    Submit {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view as the sender knows it.
        epoch: Epoch,
        /// The job.
        job: Job,
    },
    /// Reads results of a job, answered by `Results`.
    Read {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view as the sender knows it.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// The tenant that reads; the job of another one is not found.
        tenant: String,
        /// Number of results to skip.
        start_after: u64,
        /// Longest time to wait for a further result, milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item as it was submitted, answered by `Body`.
    Body {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view as the sender knows it.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// The tenant that reads; the job of another one is not found.
        tenant: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Number of the shard.
        shard: u32,
        /// Epoch of the shard's view as the sender knows it.
        epoch: Epoch,
        /// Id of the job.
        job: String,
        /// The tenant that ends it; the job of another one is not found.
        tenant: String,
    },
    /// Asks whether a job's tokens fit, answered by `Done`, `Full`, or `WrongEpoch` where that is not known.
    Claim(QuotaClaim),
    /// Statements of waiting tokens. Has no response.
    Statements(Vec<QuotaStatement>),
    /// A message to a member of a shard.
    Shard {
        /// Disk of the member.
        to: DiskId,
        /// Number of the shard.
        shard: u32,
        /// Epoch of the primary.
        epoch: Epoch,
        /// The message.
        message: ShardMessage,
    },
}

/// A response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum Response {
    /// Response to `Announce`.
    Announced {
        /// The process that responds.
        node: NodeInfo,
        /// Its disk is empty.
        empty: bool,
        /// Processes that it knows.
        known: Vec<NodeInfo>,
    },
    /// Response to `Poll` of the core's primary.
    Tables(Tables),
    /// The process that responds is not the primary of the core.
    NotPrimary {
        /// Internal address of the primary, if known.
        hint: Option<String>,
    },
    /// The request was for another process or another epoch; nothing was changed.
    WrongEpoch,
    /// Rejected for lack of capacity; nothing was changed.
    Full,
    /// The request may or may not have taken effect.
    Uncertain,
    /// Success without further data.
    Done,
    /// There is no such job or item.
    NotFound,
    /// Results of a job.
    Results {
        /// Number of items of the job, with and without a result.
        total: u64,
        /// The results after those skipped.
        results: Vec<ItemOutcome>,
    },
    /// Body of an item.
    Body(Vec<u8>),
    /// Operations are durable at the member.
    Replicated {
        /// Number after the last of these operations.
        next: u64,
    },
    /// The member lacks earlier operations, or the session is another: a repair is needed first.
    Behind,
    /// Response to `CompareBuckets`.
    DifferentBuckets {
        /// The session of the repair.
        session: u64,
        /// Numbers of the buckets that differ.
        buckets: Vec<u32>,
    },
    /// Response to `CompareJobs`: ids of jobs that the member lacks or that differ.
    DifferentJobs(Vec<String>),
    /// Response to `Poll` of the core's primary, with differences to the tables that the sender has.
    ChangedTables(Box<ChangedTables>),
}

impl Request {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a request; `bytes` have to be aligned as by [`crate::frame::aligned_buffer`].
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are no request.
    pub fn decode(bytes: &[u8]) -> Result<Request, FrameError> {
        decode_aligned(bytes)
    }
}

impl Response {
    /// Encodes the response.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a response; `bytes` have to be aligned as by [`crate::frame::aligned_buffer`].
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if the bytes are no response.
    pub fn decode(bytes: &[u8]) -> Result<Response, FrameError> {
        decode_aligned(bytes)
    }
}
