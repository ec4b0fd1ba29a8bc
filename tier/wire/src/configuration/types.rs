//! The configuration as the data plane uses it. Names in the JSON document differ from those of the fields in places.

use miniserde::{Deserialize, Serialize};

/// A complete configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; each configuration has a higher one than the one before.
    #[serde(rename = "Gen")]
    pub version: u64,
    /// Routes; of those that match a request the one with the longest prefix applies.
    #[serde(rename = "Routes")]
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    #[serde(rename = "Backends")]
    pub services: Vec<Service>,
    /// Limits on clients; the defaults if not given.
    #[serde(rename = "Limits")]
    pub limits: Option<ClientLimits>,
    /// Tenants; if given, routes that are not public require a key.
    #[serde(rename = "Accounts")]
    pub tenants: Option<Vec<Tenant>>,
}

/// A route: which requests go to which services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Route {
    /// Unique name of the route.
    #[serde(rename = "Name")]
    pub name: String,
    /// Host of the requests, without a port.
    #[serde(rename = "Host")]
    pub host: String,
    /// Prefix of the path of the requests.
    #[serde(rename = "PathPrefix")]
    pub prefix: String,
    /// `stream`, `bulk` (batch jobs), `safe` (idempotent) or `mutating`, the default.
    #[serde(rename = "Mode")]
    pub mode: Option<String>,
    /// Longest time for which a request may be held, milliseconds.
    #[serde(rename = "DeadlineMs")]
    pub deadline_ms: f64,
    /// Target for the time until the answer, milliseconds: later answers are worth less.
    #[serde(rename = "TargetMs")]
    pub target_ms: Option<f64>,
    /// Rank, 0 the highest and the default.
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
    /// The only service, unless `shares` are given.
    #[serde(rename = "Backend")]
    pub service: Option<String>,
    /// Services and their weights.
    #[serde(rename = "Shares")]
    pub shares: Option<Vec<WeightedService>>,
    /// Largest number of endpoints that a request runs on; 1 if not given.
    #[serde(rename = "Tries")]
    pub max_attempts: Option<u64>,
    /// Requests need no key.
    #[serde(rename = "Public")]
    pub public: Option<bool>,
    /// A stream may be continued at another endpoint.
    #[serde(rename = "Resumable")]
    pub resumable: Option<bool>,
    /// Wanted time between two events of a stream, milliseconds.
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<f64>,
    /// Batch: time after the submission at which every result is due, milliseconds.
    #[serde(rename = "DueMs")]
    pub due_ms: Option<f64>,
    /// Batch: time after the submission at which an item may be given up, seconds.
    #[serde(rename = "RetainS")]
    pub retain_s: Option<f64>,
    /// Batch: largest number of tokens that a tenant may have waiting; 0 or not given means no limit.
    #[serde(rename = "MaxQueued")]
    pub max_queued: Option<f64>,
}

/// The part of a route's requests that goes to one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    #[serde(rename = "Backend")]
    pub service: String,
    /// Weight, relative to the sum of all weights of the route.
    #[serde(rename = "Wt")]
    pub weight: f64,
}

/// A service: a pool of endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Service {
    /// Unique name of the service.
    #[serde(rename = "Name")]
    pub name: String,
    /// Connections that all couriers together may have to an endpoint.
    #[serde(rename = "MaxConns")]
    pub connections: Option<f64>,
    /// Engine of the endpoints.
    #[serde(rename = "Runtime")]
    pub runtime: Option<Runtime>,
    /// Bounds for scaling; without them the service is not scaled.
    #[serde(rename = "Autoscale")]
    pub autoscale: Option<Autoscale>,
}

/// Engine of a service's endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runtime {
    /// Requests that an endpoint runs at once.
    #[serde(rename = "Capacity")]
    pub capacity: Option<f64>,
    /// Memory that running requests and the prefix cache share, tokens.
    #[serde(rename = "KvCap")]
    pub token_memory: Option<f64>,
}

/// Bounds of the number of endpoints, for each zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Autoscale {
    /// Least number of endpoints in a zone.
    #[serde(rename = "Floor")]
    pub floor: f64,
    /// Largest number of endpoints in a zone.
    #[serde(rename = "Ceil")]
    pub ceiling: f64,
    /// Time until a new endpoint serves, seconds.
    #[serde(rename = "BootS")]
    pub boot_s: Option<f64>,
}

/// What a client may send, and how much time it may take.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Size of the largest request head, bytes.
    #[serde(rename = "HdrBytes")]
    pub head_bytes: u64,
    /// Size of the largest request body, bytes.
    #[serde(rename = "BodyBytes")]
    pub body_bytes: u64,
    /// Time in which a request head has to arrive, milliseconds.
    #[serde(rename = "HdrMs")]
    pub head_ms: f64,
    /// Time without input after which a connection is closed, milliseconds.
    #[serde(rename = "IdleMs")]
    pub idle_ms: f64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits { head_bytes: 16_384, body_bytes: 4_194_304, head_ms: 3000.0, idle_ms: 15_000.0 }
    }
}

/// A tenant and its keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tenant {
    /// Unique name of the tenant.
    #[serde(rename = "Name")]
    pub name: String,
    /// Keys; each belongs to one tenant.
    #[serde(rename = "Apikeys")]
    pub keys: Option<Vec<String>>,
    /// Rank of the tenant's requests, before that of the route.
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
}

impl Route {
    /// Largest number of tokens that a tenant may have waiting, if that is limited.
    pub fn waiting_limit(&self) -> Option<u64> {
        self.max_queued.filter(|limit| *limit > 0.0).map(|limit| limit as u64)
    }

    /// The services of the route with their weights, whether given by `shares` or `service`.
    pub fn services(&self) -> Vec<(&str, f64)> {
        match (&self.shares, &self.service) {
            (Some(shares), _) if !shares.is_empty() => {
                shares.iter().map(|share| (share.service.as_str(), share.weight)).collect()
            }
            (_, Some(service)) => vec![(service.as_str(), 1.0)],
            _ => Vec::new(),
        }
    }
}
