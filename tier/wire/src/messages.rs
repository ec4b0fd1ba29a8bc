//! Messages between couriers and stores.

use crate::frame::FrameError;
use rkyv::{Archive, Deserialize, Serialize};

/// Identity of a disk: drawn when its folder is found empty. A machine without a disk draws one at each start.
pub type DiskId = u64;
/// Rises with each change of a primary or of a shard view.
pub type Epoch = u64;

/// What a process is, as it tells the core.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NodeInfo {
    pub name: String,
    pub disk: DiskId,
    /// Address for traffic between couriers.
    pub internal: String,
    /// Address of the operator's interface, if it serves that.
    pub admin: Option<String>,
    pub zone: String,
    pub role: NodeRole,
}

/// Roles of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum NodeRole {
    /// Carries requests; no disk.
    Courier,
    /// Carries requests and keeps the control state.
    Core,
    /// Keeps batch jobs.
    Store,
}

/// A value of the register: members that keep it, and the encoded control state.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RegisterValue {
    pub members: Vec<DiskId>,
    /// Members before a change of members; a majority of these has to agree as well.
    pub prior: Option<Vec<DiskId>>,
    pub payload: Vec<u8>,
}

/// A value and where it stands in the order of all values.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Accepted {
    pub epoch: Epoch,
    pub sequence: u64,
    pub value: RegisterValue,
}

/// What a member has on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Register {
    /// No value of a lower epoch is accepted any more.
    pub promised: Epoch,
    /// To whom `promised` was given.
    pub promised_to: DiskId,
    pub accepted: Option<Accepted>,
}

/// Messages of the replicated register, from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegisterMessage {
    /// Would you vote for me? Changes nothing.
    PreVote {
        epoch: Epoch,
    },
    /// Yes, as of now.
    PreVoteGranted {
        epoch: Epoch,
    },
    /// Promise me this epoch.
    Prepare {
        epoch: Epoch,
    },
    /// Promised; the newest value accepted here.
    Promise {
        epoch: Epoch,
        accepted: Option<Accepted>,
    },
    /// Keep this value.
    Accept {
        accepted: Accepted,
    },
    /// Kept, synced.
    Acknowledge {
        epoch: Epoch,
        sequence: u64,
    },
    /// The primary of this epoch is there.
    Heartbeat {
        epoch: Epoch,
        round: u64,
    },
    HeartbeatReply {
        epoch: Epoch,
        round: u64,
        accepted_epoch: Epoch,
        accepted_sequence: u64,
    },
    /// A higher epoch was promised here.
    Reject {
        promised: Epoch,
    },
    /// The primary leaves: the successor stands for election now.
    Resign {
        epoch: Epoch,
        successor: DiskId,
    },
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    /// Milliseconds for which it stays slow.
    pub warmup_left_ms: f64,
    /// Models and their generation.
    pub models: Vec<(String, u64)>,
}

/// Versions of the tables a courier has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TableVersions {
    pub configuration: u64,
    pub placement: u64,
    /// Epoch of the primary that read the list, and its count.
    pub directory: (Epoch, u64),
}

/// Requests of each tenant that began to run in one window of the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct UsageWindow {
    pub window: u64,
    pub counts: Vec<(String, u64)>,
}

/// State of a shard's member that its primary reports to the core.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardReport {
    pub shard: u32,
    pub epoch: Epoch,
    /// Did not answer.
    pub unresponsive: Vec<DiskId>,
    /// Has all that the primary has, and receives what is new.
    pub caught_up: Vec<DiskId>,
}

/// A courier's or store's long poll: heartbeat and subscription in one.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Poll {
    pub node: NodeInfo,
    /// Drawn at each start: counts of an earlier incarnation stay counted.
    pub incarnation: u64,
    pub known_versions: TableVersions,
    /// Milliseconds for which the answer may be held.
    pub max_wait_ms: u64,
    pub usage: Vec<UsageWindow>,
    pub shards: Vec<ShardReport>,
    /// Is about to end: takes no new duties.
    pub draining: bool,
    /// Passed on by a courier for one that can't reach the core.
    pub relayed: bool,
    /// Places at endpoints that are needed here at once, by service.
    pub demand: Vec<(String, f64)>,
    /// Items of batch jobs that wait or run here, by service; a store's.
    pub items: Vec<(String, u32)>,
}

/// What a service's endpoints are asked for, as the core's primary heard it last.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: String,
    /// Places that live requests need at once.
    pub live_demand: f64,
    /// Items of batch jobs, by store.
    pub items: Vec<(DiskId, u32)>,
}

/// Where a shard is kept.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardView {
    pub epoch: Epoch,
    pub primary: DiskId,
    /// The epoch in which `primary` became primary.
    pub since: Epoch,
    /// Members that have all that was acknowledged; the primary is one of them.
    pub in_sync: Vec<DiskId>,
    /// Members that receive what is new and catch up with the rest.
    pub joining: Vec<DiskId>,
}

/// Core members, stores and shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Placement {
    pub core: Vec<NodeInfo>,
    pub stores: Vec<NodeInfo>,
    pub shards: Vec<ShardView>,
}

/// An update of the endpoints' list.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    Full(Vec<Endpoint>),
    /// What has changed since the version that the asker has.
    Delta {
        changed: Vec<Endpoint>,
        removed: Vec<String>,
    },
}

/// Answer to a long poll; only what the asker does not have.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Tables {
    pub epoch: Epoch,
    pub configuration: Option<(u64, String)>,
    pub placement: Option<(u64, Placement)>,
    pub directory: Option<((Epoch, u64), DirectoryUpdate)>,
    /// Couriers and stores alive: who shares an endpoint's connections.
    pub senders: u32,
    /// Internal address of the primary that answers.
    pub primary: String,
    /// Couriers without a disk that pass polls on for those that the core can't be reached by.
    pub relays: Vec<String>,
    /// For stores only.
    pub loads: Vec<ServiceLoad>,
}

/// An item of a batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub tokens: u64,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub tenant: String,
    /// Name of the route it was submitted on.
    pub route: String,
    pub host: String,
    pub path: String,
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Phase {
    Done,
    DeadLetter,
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemResult {
    /// Place of the item in its job.
    pub item: u32,
    pub phase: Phase,
    pub text: String,
}

/// A change of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ShardOperation {
    Submit(Job),
    /// The next position of the job's list.
    Append {
        job: String,
        result: ItemResult,
    },
    End {
        job: String,
    },
    Forget {
        job: String,
    },
}

/// All that is kept of a job.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobState {
    pub job: Job,
    pub results: Vec<ItemResult>,
    pub ended: bool,
}

/// Whose waiting tokens are bounded: a tenant's on a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct QuotaKey {
    pub tenant: String,
    pub route: String,
}

/// The primary of a shard asks whether a job's tokens fit.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// The shard whose primary keeps the ledger, and its epoch as the asker knows it.
    pub ledger_shard: u32,
    pub ledger_epoch: Epoch,
    /// The shard that is to take the job, and the epoch of its primary.
    pub shard: u32,
    pub epoch: Epoch,
    /// Rises with each claim and statement of a shard.
    pub sequence: u64,
    pub key: QuotaKey,
    /// Tokens of the job.
    pub tokens: u64,
    /// Tokens that the shard holds besides, other claims included.
    pub reserved: u64,
    /// Most tokens that may wait, as the asker knows the route.
    pub limit: u64,
}

/// The primary of a shard states all that the shard holds of the pairs that one ledger keeps.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaStatement {
    pub ledger_shard: u32,
    pub ledger_epoch: Epoch,
    pub shard: u32,
    pub epoch: Epoch,
    pub sequence: u64,
    pub reserved: Vec<(QuotaKey, u64)>,
}

/// Digest of the jobs of one bucket of a shard.
pub type BucketDigest = u64;

/// Calls between processes.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum Request {
    /// Who are you, and is your disk still empty? Also tells who asks, for the first start.
    Announce {
        node: NodeInfo,
        bootstrap: bool,
    },
    /// The sender is the primary of the core, at this internal address. Nobody answers it: it is a hint, and the primary is
    /// asked itself.
    PrimaryHint {
        address: String,
    },
    Poll(Poll),
    /// A message of the register; answered by messages, not by an answer.
    Register {
        from: DiskId,
        address: String,
        to: DiskId,
        message: RegisterMessage,
    },
    Submit {
        shard: u32,
        epoch: Epoch,
        job: Job,
    },
    Read {
        shard: u32,
        epoch: Epoch,
        job: String,
        tenant: String,
        start_after: u64,
        wait_ms: u64,
    },
    Body {
        shard: u32,
        epoch: Epoch,
        job: String,
        tenant: String,
        item: String,
    },
    End {
        shard: u32,
        epoch: Epoch,
        job: String,
        tenant: String,
    },
    /// Do a job's tokens fit? Answered by `Done`, `Full`, or `WrongEpoch` where that is not known.
    Claim(QuotaClaim),
    /// Nobody answers it.
    Statements(Vec<QuotaStatement>),
    /// A message to a member of a shard, known by its disk.
    Shard {
        to: DiskId,
        shard: u32,
        epoch: Epoch,
        message: ShardMessage,
    },
}

/// What the primary of a shard asks of another member.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum ShardMessage {
    /// Operations with consecutive numbers, the first being `first`.
    Replicate { session: u64, first: u64, operations: Vec<ShardOperation> },
    /// Is this still the highest epoch you know for the shard?
    Confirm,
    /// Digests of all buckets; begins a session, which the member draws: what bears another is from before, however late
    /// it comes.
    CompareBuckets { buckets: Vec<BucketDigest> },
    /// Digests of all jobs of the named buckets; jobs not listed are dropped, those that differ are named.
    CompareJobs { session: u64, buckets: Vec<u32>, jobs: Vec<(String, u64)> },
    /// Replaces jobs; with `next` the member is level with the primary.
    Install { session: u64, jobs: Vec<JobState>, next: Option<u64> },
}

/// Answers to [`Request`].
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum Response {
    Announced {
        node: NodeInfo,
        empty: bool,
        known: Vec<NodeInfo>,
    },
    Tables(Tables),
    /// Not the primary; who is, as far as known.
    NotPrimary {
        hint: Option<String>,
    },
    /// Not for this process, or not in this epoch; nothing was changed.
    WrongEpoch,
    /// Refused for want of room; nothing was changed.
    Full,
    /// It may or may not have taken effect.
    Uncertain,
    Done,
    NotFound,
    Results {
        total: u64,
        results: Vec<(String, Phase, String)>,
    },
    Body(Vec<u8>),
    /// Operations up to this number (exclusive) are synced.
    Replicated {
        next: u64,
    },
    /// Operations are missing here, or the session is another: compare first.
    Behind,
    /// The session begun, and the numbers of the buckets that differ.
    DifferentBuckets {
        session: u64,
        buckets: Vec<u32>,
    },
    DifferentJobs(Vec<String>),
}

impl Request {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message; `bytes` have to be aligned as by [`crate::frame::aligned_buffer`].
    pub fn decode(bytes: &[u8]) -> Result<Request, FrameError> {
        rkyv::from_bytes::<Request, rkyv::rancor::Error>(bytes).map_err(malformed)
    }
}

impl Response {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message; `bytes` have to be aligned as by [`crate::frame::aligned_buffer`].
    pub fn decode(bytes: &[u8]) -> Result<Response, FrameError> {
        rkyv::from_bytes::<Response, rkyv::rancor::Error>(bytes).map_err(malformed)
    }
}

fn malformed(error: rkyv::rancor::Error) -> FrameError {
    FrameError::Malformed(error.to_string())
}

/// Encodes any message; memory is the only thing that can be short, and its want ends the process anyway.
pub fn encode<T>(message: &T) -> Vec<u8>
where
    T: for<'a> Serialize<
        rkyv::api::high::HighSerializer<
            rkyv::util::AlignedVec,
            rkyv::ser::allocator::ArenaHandle<'a>,
            rkyv::rancor::Error,
        >,
    >,
{
    rkyv::to_bytes::<rkyv::rancor::Error>(message).map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Decodes any message from bytes of any alignment.
pub fn decode<T>(bytes: &[u8]) -> Result<T, FrameError>
where
    T: Archive,
    T::Archived: for<'a> rkyv::bytecheck::CheckBytes<rkyv::api::high::HighValidator<'a, rkyv::rancor::Error>>
        + Deserialize<T, rkyv::api::high::HighDeserializer<rkyv::rancor::Error>>,
{
    let mut buffer = crate::frame::aligned_buffer(bytes.len());
    buffer.copy_from_slice(bytes);
    rkyv::from_bytes::<T, rkyv::rancor::Error>(&buffer).map_err(malformed)
}
