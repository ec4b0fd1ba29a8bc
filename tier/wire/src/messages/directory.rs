//! Endpoints as the platform lists them, and updates of that list.

use rkyv::{Archive, Deserialize, Serialize};

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identity given by the platform.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address for requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it runs at once.
    pub capacity: u32,
    /// It is shutting down: no new requests.
    pub draining: bool,
    /// Remaining time for which it runs slower while warming up, milliseconds.
    pub warmup_left_ms: f64,
    /// Models and their generations.
    pub models: Vec<(String, u64)>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// The complete list.
    Full(Vec<Endpoint>),
    /// The changes since the version that the receiver has.
    Delta {
        /// Endpoints that are new or differ.
        changed: Vec<Endpoint>,
        /// Ids of endpoints that are no longer listed.
        removed: Vec<String>,
    },
}
