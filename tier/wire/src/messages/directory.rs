//! Endpoints in the platform's list, and updates of the list.

use rkyv::{Archive, Deserialize, Serialize};

/// An endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id assigned by the platform.
    pub id: String,
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Address that the endpoint serves requests on.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the endpoint runs concurrently.
    pub capacity: u32,
    /// Whether the endpoint is shutting down and must get no new requests.
    pub draining: bool,
    /// Remaining time of the warm-up, during which the endpoint is slower, milliseconds.
    pub warmup_left_ms: f64,
    /// Models that the endpoint serves, with their generations.
    pub models: Vec<(String, u64)>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// The complete list, which replaces that of the receiver.
    Full(Vec<Endpoint>),
    /// The changes from the version that the receiver has.
    Delta {
        /// Endpoints that are new or differ.
        changed: Vec<Endpoint>,
        /// Ids of endpoints that are no longer listed.
        removed: Vec<String>,
    },
}
