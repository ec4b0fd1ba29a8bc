//! The messages on the simulator's wire, one JSON object a line. Types only; the names are the simulator's.

use quillmount_settings::SenderSettings;
use serde::{Deserialize, Serialize};

/// A message from the simulator. `i` is the number of an instance.
#[derive(Deserialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Incoming {
    /// A batch begins, at this time.
    BeginBatch { moment_ms: f64 },
    /// The batch ends and wants its reply.
    Eob,
    /// A pool of endpoints, to which lists refer by its number.
    Pool {
        #[serde(rename = "ref")]
        number: u32,
        records: Vec<PoolEntry>,
    },
    /// An instance starts.
    Init { i: i64, init_seed: u64, env: Box<SenderSettings> },
    /// The endpoint list of an instance, or a change to it.
    Endpoints {
        i: i64,
        kind: u8,
        #[serde(rename = "ref", default)]
        number: Option<u32>,
    },
    /// A client submits a message.
    Submit(Submission),
    /// An attempt ended.
    Completed(CompletedAttempt),
    /// An instance ends.
    Down { i: i64 },
    /// A note of another instance.
    PeerData { i: i64, neighbour: u32, body: String },
    /// A client has gone.
    Hangup { i: i64, xid: String },
    /// The result of a health check.
    CheckResult(CheckResult),
    /// A timer fired.
    DeadlineHit { i: i64, tag: u64 },
    /// The headers of an answer arrived.
    Headers { i: i64, xid: String, send_no: u32 },
}

/// A message of a client.
#[derive(Deserialize)]
pub struct Submission {
    pub i: i64,
    pub xid: String,
    #[serde(rename = "type")]
    pub class: String,
    pub project: Option<String>,
    pub route_key: Option<String>,
    pub client_deadline_ms: f64,
    pub size_hint_ms: Option<f64>,
    pub far_end: u64,
    /// Bit 0: the size hint is valid.
    #[serde(default)]
    pub flags: Option<u32>,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct CompletedAttempt {
    pub i: i64,
    pub xid: String,
    pub send_no: u32,
    pub reason: u32,
    #[serde(default)]
    pub cost_time_ms: Option<f64>,
    #[serde(default)]
    pub finished: Option<bool>,
    /// For a refusal as full: how long to wait, milliseconds.
    #[serde(default)]
    pub note: Option<f64>,
    #[serde(default)]
    pub pressure: Option<Vec<f64>>,
}

/// The result of a health check.
#[derive(Deserialize)]
pub struct CheckResult {
    pub i: i64,
    pub receiver: String,
    #[serde(default)]
    pub cost_time_ms: Option<f64>,
    pub reason: u32,
    #[serde(default)]
    pub pressure: Option<Vec<f64>>,
}

/// An endpoint of a pool.
#[derive(Deserialize, Clone)]
pub struct PoolEntry {
    #[serde(default)]
    pub kind: Option<String>,
    #[serde(default)]
    pub size: Option<f64>,
    #[serde(default)]
    pub locality: Option<String>,
    pub dest: u64,
    pub receiver: String,
    pub state: u8,
}

/// A message to the simulator. `i` is the number of an instance.
#[derive(Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Outgoing<'a> {
    /// Send a message.
    PassOn { i: i64, xid: &'a str, patience_ms: f64, receiver: &'a str },
    /// Reject a message.
    Bounce { i: i64, xid: &'a str, not_before_for_ms: f64 },
    /// End a message as failed.
    Lose { i: i64, xid: &'a str },
    /// Cancel an attempt.
    Withdraw { i: i64, xid: &'a str, send_no: u32 },
    /// Close the idle connections to an endpoint.
    FreeLinks { i: i64, receiver: &'a str },
    /// Subscribe to the endpoint list.
    Subscribe { i: i64, want: bool },
    /// Set a timer.
    Schedule { i: i64, offset_ms: f64, tag: u64 },
    /// Print a line.
    Print { i: i64, text: &'a str },
    /// The reply to a batch ends.
    Yield,
}
