//! The operator's configuration: reading, checking, and applying changes of named items.

use miniserde::json::{self, Array, Object, Value};
use miniserde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why a configuration is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// Not JSON, or a field of it is missing or of another type.
    Unreadable(String),
    UnknownService {
        route: String,
        service: String,
    },
    DuplicateRoute {
        first: String,
        second: String,
    },
    DuplicateName {
        kind: &'static str,
        name: String,
    },
    ZeroWeight {
        route: String,
    },
    ZeroTimeout {
        route: String,
    },
    SharedKey {
        first: String,
        second: String,
    },
    NotNewer {
        version: u64,
        current: u64,
    },
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Unreadable(detail) => {
                write!(out, "the configuration can't be read: {detail}")
            }
            ConfigurationError::UnknownService { route, service } => {
                write!(out, "Routes[{route}]: there is no service {service}")
            }
            ConfigurationError::DuplicateRoute { first, second } => {
                write!(out, "Routes[{first}] and Routes[{second}] have the same host and prefix")
            }
            ConfigurationError::DuplicateName { kind, name } => write!(out, "{kind}[{name}] is there twice"),
            ConfigurationError::ZeroWeight { route } => {
                write!(out, "Routes[{route}].Shares: the weights sum to 0")
            }
            ConfigurationError::ZeroTimeout { route } => write!(out, "Routes[{route}].DeadlineMs is 0"),
            ConfigurationError::SharedKey { first, second } => {
                write!(out, "Accounts[{first}] and Accounts[{second}] share a key")
            }
            ConfigurationError::NotNewer { version, current } => {
                write!(out, "Gen: {version} is not above the current {current}")
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

/// A configuration as the data plane uses it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    #[serde(rename = "Gen")]
    pub version: u64,
    #[serde(rename = "Routes")]
    pub routes: Vec<Route>,
    #[serde(rename = "Backends")]
    pub services: Vec<Service>,
    #[serde(rename = "Limits")]
    pub limits: Option<ClientLimits>,
    #[serde(rename = "Accounts")]
    pub tenants: Option<Vec<Tenant>>,
}

/// A route: which requests go to which services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Route {
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "Host")]
    pub host: String,
    #[serde(rename = "PathPrefix")]
    pub prefix: String,
    #[serde(rename = "Mode")]
    pub mode: Option<String>,
    /// Longest time a request may be held, ms.
    #[serde(rename = "DeadlineMs")]
    pub deadline_ms: f64,
    /// Time for full worth, ms.
    #[serde(rename = "TargetMs")]
    pub target_ms: Option<f64>,
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
    #[serde(rename = "Backend")]
    pub service: Option<String>,
    #[serde(rename = "Shares")]
    pub shares: Option<Vec<WeightedService>>,
    #[serde(rename = "Tries")]
    pub max_attempts: Option<u64>,
    #[serde(rename = "Public")]
    pub public: Option<bool>,
    #[serde(rename = "Resumable")]
    pub resumable: Option<bool>,
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<f64>,
    /// Batch: time until every result is due, ms.
    #[serde(rename = "DueMs")]
    pub due_ms: Option<f64>,
    /// Batch: time after which an item may be given up, s.
    #[serde(rename = "RetainS")]
    pub retain_s: Option<f64>,
    /// Batch: most tokens that a tenant may have waiting; 0 or nothing: no limit.
    #[serde(rename = "MaxQueued")]
    pub max_queued: Option<f64>,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WeightedService {
    #[serde(rename = "Backend")]
    pub service: String,
    #[serde(rename = "Wt")]
    pub weight: f64,
}

/// A service: a pool of endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Service {
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "MaxConns")]
    pub connections: Option<f64>,
    #[serde(rename = "Runtime")]
    pub runtime: Option<Runtime>,
    #[serde(rename = "Autoscale")]
    pub autoscale: Option<Autoscale>,
}

/// Engine of a service's endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runtime {
    #[serde(rename = "Capacity")]
    pub capacity: Option<f64>,
    /// Tokens that running requests and cached parts share.
    #[serde(rename = "KvCap")]
    pub token_memory: Option<f64>,
}

/// Bounds of the number of endpoints, for each zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Autoscale {
    #[serde(rename = "Floor")]
    pub floor: f64,
    #[serde(rename = "Ceil")]
    pub ceiling: f64,
    #[serde(rename = "BootS")]
    pub boot_s: Option<f64>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClientLimits {
    #[serde(rename = "HdrBytes")]
    pub head_bytes: u64,
    #[serde(rename = "BodyBytes")]
    pub body_bytes: u64,
    #[serde(rename = "HdrMs")]
    pub head_ms: f64,
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
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "Apikeys")]
    pub keys: Option<Vec<String>>,
    #[serde(rename = "Prio")]
    pub priority: Option<i64>,
}

impl Route {
    /// Most tokens that a tenant may have waiting, if that is limited.
    pub fn waiting_limit(&self) -> Option<u64> {
        self.max_queued.filter(|limit| *limit > 0.0).map(|limit| limit as u64)
    }

    /// Services and weights, whichever way the route names them.
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

/// Lists of a configuration whose items have names.
const NAMED_LISTS: [&str; 3] = ["Routes", "Backends", "Accounts"];
/// Field with an item's name.
const NAME: &str = "Name";
/// Deepest nesting that is read.
const DEPTH_LIMIT: usize = 64;

fn unreadable(detail: &str) -> ConfigurationError {
    ConfigurationError::Unreadable(detail.to_owned())
}

/// Parses JSON, of bounded depth.
pub fn parse_json(text: &str) -> Result<Value, ConfigurationError> {
    let mut depth = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_LIMIT {
            return Err(unreadable("nested too deeply"));
        }
    }
    json::from_str(text).map_err(|_| unreadable("not complete JSON"))
}

fn object(value: &Value) -> Result<&Object, ConfigurationError> {
    match value {
        Value::Object(object) => Ok(object),
        _ => Err(unreadable("an object is expected")),
    }
}

fn items(object: &Object, list: &str) -> Result<Vec<Value>, ConfigurationError> {
    match object.get(list) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Array(array)) => Ok(array.iter().cloned().collect()),
        Some(_) => Err(unreadable(list)),
    }
}

fn name_of(item: &Value) -> Option<&str> {
    match item {
        Value::Object(object) => match object.get(NAME) {
            Some(Value::String(name)) => Some(name),
            _ => None,
        },
        _ => None,
    }
}

/// Which part of a document fails to be read as a configuration, for the error's text.
fn describe_failure(document: &Value) -> String {
    let Ok(object) = object(document) else { return "not an object".to_owned() };
    for list in NAMED_LISTS {
        let Ok(all) = items(object, list) else { return format!("{list} is no list") };
        for (index, item) in all.iter().enumerate() {
            let text = json::to_string(item);
            let is_valid = match list {
                "Routes" => json::from_str::<Route>(&text).is_ok(),
                "Backends" => json::from_str::<Service>(&text).is_ok(),
                _ => json::from_str::<Tenant>(&text).is_ok(),
            };
            if !is_valid {
                return format!(
                    "{list}[{}] lacks a field or has one of another type",
                    name_of(item).map_or_else(|| index.to_string(), str::to_owned)
                );
            }
        }
    }
    "Gen, Routes, Backends or Limits is missing or of another type".to_owned()
}

impl Configuration {
    /// Reads a whole configuration from its JSON text, without checking it against another.
    pub fn read(text: &str) -> Result<Configuration, ConfigurationError> {
        let document = parse_json(text)?;
        json::from_str(text).map_err(|_| ConfigurationError::Unreadable(describe_failure(&document)))
    }

    /// Checks the rules that a valid configuration keeps.
    pub fn check(&self, current: u64) -> Result<(), ConfigurationError> {
        if self.version <= current {
            return Err(ConfigurationError::NotNewer { version: self.version, current });
        }
        let services = unique("Backends", self.services.iter().map(|service| service.name.as_str()))?;
        unique("Routes", self.routes.iter().map(|route| route.name.as_str()))?;
        let mut host_prefixes: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if let Some(first) = host_prefixes.insert((&route.host, &route.prefix), &route.name) {
                return Err(ConfigurationError::DuplicateRoute {
                    first: first.to_owned(),
                    second: route.name.clone(),
                });
            }
        }
        check_keys(self.tenants.as_deref().unwrap_or_default())
    }
}

fn unique<'a>(
    kind: &'static str,
    names: impl Iterator<Item = &'a str>,
) -> Result<BTreeSet<&'a str>, ConfigurationError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(ConfigurationError::DuplicateName { kind, name: name.to_owned() });
        }
    }
    Ok(seen)
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    let shares = route.services();
    if let Some((service, _)) = shares.iter().find(|(service, _)| !services.contains(service)) {
        let (route, service) = (route.name.clone(), (*service).to_owned());
        return Err(ConfigurationError::UnknownService { route, service });
    }
    if shares.iter().any(|(_, weight)| *weight < 0.0)
        || shares.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0
    {
        return Err(ConfigurationError::ZeroWeight { route: route.name.clone() });
    }
    if route.deadline_ms <= 0.0 {
        return Err(ConfigurationError::ZeroTimeout { route: route.name.clone() });
    }
    Ok(())
}

fn check_keys(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    unique("Accounts", tenants.iter().map(|tenant| tenant.name.as_str()))?;
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in tenants {
        for key in tenant.keys.iter().flatten() {
            if let Some(first) = owners.insert(key, &tenant.name)
                && first != tenant.name
            {
                return Err(ConfigurationError::SharedKey {
                    first: first.to_owned(),
                    second: tenant.name.clone(),
                });
            }
        }
    }
    Ok(())
}

/// Applies a change of named items to the current configuration's text; the result is a whole configuration's text.
pub fn apply_patch(current: &str, patch: &str) -> Result<String, ConfigurationError> {
    let base = parse_json(if current.is_empty() { "{}" } else { current })?;
    let patch_object = parse_json(patch)?;
    let mut result = object(&base)?.clone();
    let patch_object = object(&patch_object)?;
    let version = patch_object.get("Gen").ok_or_else(|| unreadable("Gen is missing"))?;
    result.insert("Gen".to_owned(), version.clone());
    let empty = Value::Object(Object::new());
    let upsert = object(patch_object.get("Upsert").unwrap_or(&empty))?;
    let remove = object(patch_object.get("Remove").unwrap_or(&empty))?;
    for list in NAMED_LISTS {
        let merged = merge(items(&result, list)?, items(upsert, list)?, items(remove, list)?, list)?;
        if let Some(merged) = merged {
            result.insert(list.to_owned(), merged);
        }
    }
    if let Some(limits) = upsert.get("Limits") {
        result.insert("Limits".to_owned(), limits.clone());
    }
    Ok(json::to_string(&Value::Object(result)))
}

fn merge(
    mut all: Vec<Value>,
    upsert: Vec<Value>,
    remove: Vec<Value>,
    list: &str,
) -> Result<Option<Value>, ConfigurationError> {
    if upsert.is_empty() && remove.is_empty() {
        return Ok(None);
    }
    let removed: BTreeSet<String> = remove
        .into_iter()
        .map(|name| match name {
            Value::String(name) => Ok(name),
            _ => Err(unreadable(list)),
        })
        .collect::<Result<_, _>>()?;
    all.retain(|item| name_of(item).is_none_or(|name| !removed.contains(name)));
    for item in upsert {
        let name = name_of(&item).ok_or_else(|| unreadable(list))?.to_owned();
        match all.iter_mut().find(|old| name_of(old) == Some(name.as_str())) {
            Some(old) => *old = item,
            None => all.push(item),
        }
    }
    let mut array = Array::new();
    all.into_iter().for_each(|item| array.push(item));
    Ok(Some(Value::Array(array)))
}
