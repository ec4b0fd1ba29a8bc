//! Lookup table for the routes, tenants and services of a configuration.

use super::route::{CompiledRoute, RouteMode};
use crate::dispatch::ServiceShare;
use quillmount_wire::configuration::{ClientLimits, Configuration, Service, Tenant};
use std::collections::HashMap;
use std::rc::Rc;

/// Default prompt memory of an endpoint, for services that configure none, tokens.
const DEFAULT_TOKEN_MEMORY: f64 = 200_000.0;
/// Default number of connections to an endpoint, for services that configure none.
const DEFAULT_CONNECTIONS: f64 = 64.0;
/// Upper bound of the number of connections to an endpoint.
const MAX_CONNECTIONS: f64 = 65_536.0;
/// Authentication scheme that precedes the API key in the `Authorization` header.
const KEY_SCHEME: &str = "Token ";

/// Result of the authentication of a request by its API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The request is allowed without a tenant: the configuration has no tenants, or the route is public and no valid key was sent.
    Anonymous,
    /// The key belongs to the tenant with this name.
    Tenant(Rc<str>),
    /// The route requires a key, and the key is missing or unknown.
    Denied,
}

/// A compiled configuration. It is immutable; a newer configuration replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration, 0 if none was received yet.
    pub version: u64,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
    /// Service settings by service name.
    pub services: HashMap<String, Service>,
    /// Routes by normalized host, in descending order of prefix length.
    routes_by_host: HashMap<String, Vec<Rc<CompiledRoute>>>,
    routes_by_name: HashMap<String, Rc<CompiledRoute>>,
    tenants_by_key: HashMap<String, Rc<str>>,
    /// Priorities by tenant, for tenants that have one.
    priorities: HashMap<Rc<str>, i64>,
    /// Whether requests on routes that are not public need a key: the configuration has tenants.
    requires_key: bool,
}

impl RouteTable {
    /// Compiles a valid configuration.
    pub fn compile(configuration: &Configuration) -> RouteTable {
        let mut table = RouteTable {
            version: configuration.version,
            limits: configuration.limits.clone().unwrap_or_default(),
            requires_key: configuration.tenants.is_some(),
            ..RouteTable::default()
        };
        for route in &configuration.routes {
            let compiled = Rc::new(CompiledRoute::from(route));
            table.routes_by_name.insert(route.name.clone(), compiled.clone());
            table.routes_by_host.entry(normalize_host(&route.host)).or_default().push(compiled);
        }
        for routes in table.routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.route.prefix.len()));
        }
        for tenant in configuration.tenants.iter().flatten() {
            table.add_tenant(tenant);
        }
        table.services =
            configuration.services.iter().map(|service| (service.name.clone(), service.clone())).collect();
        table
    }

    fn add_tenant(&mut self, tenant: &Tenant) {
        let name: Rc<str> = tenant.name.as_str().into();
        for key in tenant.keys.iter().flatten() {
            self.tenants_by_key.insert(key.clone(), name.clone());
        }
        if let Some(priority) = tenant.priority {
            self.priorities.insert(name, priority);
        }
    }

    /// Returns the route of a host whose prefix is the longest match for a path. `host` may contain a port, and `path` a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<CompiledRoute>> {
        let path = path.split('?').next().unwrap_or_default();
        self.routes_by_host
            .get(&normalize_host(host))?
            .iter()
            .find(|route| path.starts_with(&route.route.prefix))
    }

    /// Returns the route with this configured name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<CompiledRoute>> {
        self.routes_by_name.get(name)
    }

    /// Returns the route of a batch job that was submitted at this host and path on the route of this name: the one of the same name,
    /// or the route for batch jobs that has taken its place, as after a change of its name. `None` once the route has ended.
    pub fn of_job(&self, name: &str, host: &str, path: &str) -> Option<&Rc<CompiledRoute>> {
        let at_its_place = || self.find(host, path).filter(|route| route.mode == RouteMode::Bulk);
        self.by_name(name).or_else(at_its_place)
    }

    /// Whether any route limits the tokens of queued requests.
    pub fn limits_queued_tokens(&self) -> bool {
        self.routes_by_name.values().any(|route| route.route.queued_token_limit().is_some())
    }

    /// Authenticates a request by its `Authorization` header. `public` says that the route needs no key.
    pub fn authenticate(&self, authorization: Option<&str>, public: bool) -> Access {
        let key = authorization.and_then(|value| value.strip_prefix(KEY_SCHEME)).map(str::trim);
        let tenant = key.and_then(|key| self.tenants_by_key.get(key));
        match tenant {
            Some(tenant) => Access::Tenant(tenant.clone()),
            None if public || !self.requires_key => Access::Anonymous,
            None => Access::Denied,
        }
    }

    /// Priority of a request: that of its tenant, or that of the route if the tenant has none.
    pub fn priority(&self, tenant: Option<&str>, route: &CompiledRoute) -> i64 {
        tenant.and_then(|tenant| self.priorities.get(tenant)).copied().unwrap_or(route.priority)
    }

    /// Maximum number of connections of all senders together to one endpoint of a service.
    pub fn connection_limit(&self, service: &str) -> u32 {
        let configured = self.services.get(service).and_then(|service| service.max_connections);
        configured.unwrap_or(DEFAULT_CONNECTIONS).clamp(1.0, MAX_CONNECTIONS) as u32
    }

    /// The share of each endpoint of a service that one of `senders` processes may use.
    pub fn share(&self, service: &str, senders: u32) -> ServiceShare {
        let runtime = self.services.get(service).and_then(|service| service.runtime.as_ref());
        let memory = runtime.and_then(|runtime| runtime.kv_cache_tokens).unwrap_or(DEFAULT_TOKEN_MEMORY);
        let cache_tokens = memory.max(0.0) as u64 / u64::from(senders.max(1));
        ServiceShare { slots: self.connection_limit(service) / senders.max(1), cache_tokens }
    }
}

/// Normalizes a host for comparison: without port, in lower case.
fn normalize_host(host: &str) -> String {
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}
