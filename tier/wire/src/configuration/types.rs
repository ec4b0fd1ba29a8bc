//! The configuration as the data plane uses it. Some names in the JSON document differ from the names of the fields here.

use miniserde::{Deserialize, Serialize};

/// A complete configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version, which is higher than that of the previous configuration.
    #[serde(rename = "Gen")]
    pub version: u64,
    /// Routes. Of the routes that match a request, the one with the longest prefix applies.
    #[serde(rename = "Routes")]
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    #[serde(rename = "Backends")]
    pub services: Vec<Service>,
    /// Limits on clients; the defaults apply if not set.
    #[serde(rename = "Limits")]
    pub limits: Option<ClientLimits>,
    /// Tenants; if set, routes that are not public require the key of a tenant.
    #[serde(rename = "Accounts")]
    pub tenants: Option<Vec<Tenant>>,
}

/// A route, which maps requests to services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Route {
    /// Unique name of the route.
    #[serde(rename = "Name")]
    pub name: String,
    /// Host of the matching requests, without a port.
    #[serde(rename = "Host")]
    pub host: String,
    /// Path prefix of the matching requests.
    #[serde(rename = "PathPrefix")]
    pub prefix: String,
    /// Kind of the requests: `stream`, `bulk` (batch jobs), `safe` (idempotent) or `mutating`, which is the default.
    #[serde(rename = "Mode")]
    pub mode: Option<String>,
    /// Time after which a request without an answer fails, milliseconds.
    #[serde(rename = "DeadlineMs")]
    pub deadline_ms: f64,
    /// Target for the latency of the answer, milliseconds; later answers have less value.
    #[serde(rename = "TargetMs")]
    pub target_ms: Option<f64>,
    /// Priority; 0 is the highest and the default.
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
    /// Name of the only service; ignored if `shares` is set and not empty.
    #[serde(rename = "Backend")]
    pub service: Option<String>,
    /// Services of the route with their weights.
    #[serde(rename = "Shares")]
    pub shares: Option<Vec<WeightedService>>,
    /// Largest number of endpoints that a request runs on, one after the other; 1 if not set.
    #[serde(rename = "Tries")]
    pub max_attempts: Option<u64>,
    /// Whether requests need no key.
    #[serde(rename = "Public")]
    pub public: Option<bool>,
    /// Whether an interrupted stream may be resumed at another endpoint.
    #[serde(rename = "Resumable")]
    pub resumable: Option<bool>,
    /// Target for the time between two events of a stream, milliseconds.
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<f64>,
    /// For batch routes: time after the submission by which every result is due, milliseconds.
    #[serde(rename = "DueMs")]
    pub due_ms: Option<f64>,
    /// For batch routes: time after the submission after which an item without a result may be given up, seconds.
    #[serde(rename = "RetainS")]
    pub retain_s: Option<f64>,
    /// For batch routes: largest number of tokens that a tenant may have queued; 0 or not set means no limit.
    #[serde(rename = "MaxQueued")]
    pub max_queued_tokens: Option<f64>,
}

/// A service of a route with the weight that determines its share of the requests.
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
    /// Largest number of connections that all couriers together may have to one endpoint.
    #[serde(rename = "MaxConns")]
    pub max_connections: Option<f64>,
    /// Inference engine of the endpoints.
    #[serde(rename = "Runtime")]
    pub runtime: Option<Runtime>,
    /// Bounds for autoscaling; if not set, the service is not scaled.
    #[serde(rename = "Autoscale")]
    pub autoscale: Option<Autoscale>,
}

/// Inference engine of a service's endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runtime {
    /// Number of requests that an endpoint runs concurrently.
    #[serde(rename = "Capacity")]
    pub capacity: Option<f64>,
    /// Size of the memory that running requests and the prefix cache share, tokens.
    #[serde(rename = "KvCap")]
    pub kv_cache_tokens: Option<f64>,
}

/// Bounds of the number of endpoints in each zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Autoscale {
    /// Smallest number of endpoints in a zone.
    #[serde(rename = "Floor")]
    pub floor: f64,
    /// Largest number of endpoints in a zone.
    #[serde(rename = "Ceil")]
    pub ceiling: f64,
    /// Time that a new endpoint needs until it serves requests, seconds.
    #[serde(rename = "BootS")]
    pub boot_s: Option<f64>,
}

/// Limits on the size of client requests and on the time that clients take.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Size of the largest request head, bytes.
    #[serde(rename = "HdrBytes")]
    pub max_head_bytes: u64,
    /// Size of the largest request body, bytes.
    #[serde(rename = "BodyBytes")]
    pub max_body_bytes: u64,
    /// Time within which a request head has to arrive, milliseconds.
    #[serde(rename = "HdrMs")]
    pub head_timeout_ms: f64,
    /// Time without input after which a connection is closed, milliseconds.
    #[serde(rename = "IdleMs")]
    pub idle_timeout_ms: f64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 4_194_304,
            head_timeout_ms: 3000.0,
            idle_timeout_ms: 15_000.0,
        }
    }
}

/// A tenant and its keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tenant {
    /// Unique name of the tenant.
    #[serde(rename = "Name")]
    pub name: String,
    /// API keys; each key belongs to one tenant only.
    #[serde(rename = "Apikeys")]
    pub keys: Option<Vec<String>>,
    /// Priority of the tenant's requests, which takes precedence over that of the route.
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
}

impl Route {
    /// Returns the largest number of tokens that a tenant may have queued, if there is a limit.
    pub fn queued_token_limit(&self) -> Option<u64> {
        self.max_queued_tokens.filter(|limit| *limit > 0.0).map(|limit| limit as u64)
    }

    /// Returns the services of the route with their weights, from `shares` or `service`.
    pub fn weighted_services(&self) -> Vec<(&str, f64)> {
        match (&self.shares, &self.service) {
            (Some(shares), _) if !shares.is_empty() => {
                shares.iter().map(|share| (share.service.as_str(), share.weight)).collect()
            }
            (_, Some(service)) => vec![(service.as_str(), 1.0)],
            _ => Vec::new(),
        }
    }
}
