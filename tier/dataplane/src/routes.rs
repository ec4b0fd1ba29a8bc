//! Routes and keys of a configuration, compiled for look-ups.

use crate::dispatch::ServiceShare;
use quillmount_wire::configuration::{ClientLimits, Configuration, Route, Service, Tenant};
use std::collections::HashMap;
use std::rc::Rc;

/// Memory of an endpoint whose service states none, tokens.
const DEFAULT_TOKEN_MEMORY: f64 = 200_000.0;

/// How a route's requests may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// May run more than once.
    Safe,
    /// May run once a try.
    Mutating,
    /// Answered by events.
    Stream,
    /// Batch jobs.
    Bulk,
}

/// A route as requests use it.
#[derive(Clone, Debug)]
pub struct CompiledRoute {
    pub route: Route,
    pub mode: Mode,
    pub resumable: bool,
    pub max_attempts: u32,
    pub priority: i64,
}

impl CompiledRoute {
    /// Whether a request may run more than once in a try.
    pub fn idempotent(&self) -> bool {
        match self.mode {
            Mode::Safe | Mode::Bulk => true,
            Mode::Stream => self.resumable,
            Mode::Mutating => false,
        }
    }

    /// The service for a request, chosen by weight; `draw` is in 0..1.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let shares = self.route.services();
        let total: f64 = shares.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
        for (service, weight) in &shares {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        shares.iter().rev().find(|(_, weight)| *weight > 0.0).map(|(service, _)| *service)
    }
}

/// What a key allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The configuration has no tenants, or the route is public and no key was given.
    Anonymous,
    Tenant(Rc<str>),
    Denied,
}

/// Compiled configuration; swapped whole.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub version: u64,
    pub limits: ClientLimits,
    hosts: HashMap<String, Vec<Rc<CompiledRoute>>>,
    names: HashMap<String, Rc<CompiledRoute>>,
    keys: HashMap<String, Rc<str>>,
    priorities: HashMap<Rc<str>, i64>,
    requires_key: bool,
    pub services: HashMap<String, Service>,
}

fn mode_of(route: &Route) -> Mode {
    match route.mode.as_deref() {
        Some("stream") => Mode::Stream,
        Some("bulk") => Mode::Bulk,
        Some("safe") => Mode::Safe,
        _ => Mode::Mutating,
    }
}

fn compile_route(route: &Route) -> CompiledRoute {
    CompiledRoute {
        mode: mode_of(route),
        resumable: route.resumable.unwrap_or(false),
        max_attempts: route.max_attempts.unwrap_or(1).clamp(1, 16) as u32,
        priority: route.priority.unwrap_or(0),
        route: route.clone(),
    }
}

/// A host as it is compared: without a port, in lower case.
fn host_name(host: &str) -> String {
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

impl RouteTable {
    /// Compiles a configuration that was checked.
    pub fn compile(configuration: &Configuration) -> RouteTable {
        let mut table = RouteTable {
            version: configuration.version,
            limits: configuration.limits.clone().unwrap_or_default(),
            requires_key: configuration.tenants.is_some(),
            ..RouteTable::default()
        };
        for route in &configuration.routes {
            let compiled = Rc::new(compile_route(route));
            table.names.insert(route.name.clone(), compiled.clone());
            table.hosts.entry(host_name(&route.host)).or_default().push(compiled);
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.route.prefix.len()));
        }
        configuration.tenants.iter().flatten().for_each(|tenant| table.add_tenant(tenant));
        table.services =
            configuration.services.iter().map(|service| (service.name.clone(), service.clone())).collect();
        table
    }

    fn add_tenant(&mut self, tenant: &Tenant) {
        let name: Rc<str> = tenant.name.as_str().into();
        for key in tenant.keys.iter().flatten() {
            self.keys.insert(key.clone(), name.clone());
        }
        if let Some(priority) = tenant.priority {
            self.priorities.insert(name, priority);
        }
    }

    /// The route of this host whose prefix begins the path and is longest.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<CompiledRoute>> {
        let path = path.split('?').next().unwrap_or_default();
        self.hosts.get(&host_name(host))?.iter().find(|route| path.starts_with(&route.route.prefix))
    }

    /// The route of this name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<CompiledRoute>> {
        self.names.get(name)
    }

    /// Whether any route limits the tokens that may wait.
    pub fn limits_waiting(&self) -> bool {
        self.names.values().any(|route| route.route.waiting_limit().is_some())
    }

    /// What the `Authorization` header of a request allows.
    pub fn access(&self, authorization: Option<&str>, public: bool) -> Access {
        let key = authorization.and_then(|value| value.strip_prefix("Token ")).map(str::trim);
        let tenant = key.and_then(|key| self.keys.get(key));
        match tenant {
            Some(tenant) => Access::Tenant(tenant.clone()),
            None if public || !self.requires_key => Access::Anonymous,
            None => Access::Denied,
        }
    }

    /// Rank of a request: the tenant's before the route's.
    pub fn priority(&self, tenant: Option<&str>, route: &CompiledRoute) -> i64 {
        tenant.and_then(|tenant| self.priorities.get(tenant)).copied().unwrap_or(route.priority)
    }

    /// Connections that all callers together may have to an endpoint of this service.
    pub fn connections(&self, service: &str) -> u32 {
        let configured = self.services.get(service).and_then(|service| service.connections);
        configured.unwrap_or(64.0).clamp(1.0, 65_536.0) as u32
    }

    /// What one of so many senders may use of each endpoint of this service.
    pub fn share(&self, service: &str, senders: u32) -> ServiceShare {
        let runtime = self.services.get(service).and_then(|service| service.runtime.as_ref());
        let memory = runtime.and_then(|runtime| runtime.token_memory).unwrap_or(DEFAULT_TOKEN_MEMORY);
        let cache_tokens = memory.max(0.0) as u64 / u64::from(senders.max(1));
        ServiceShare { slots: self.connections(service) / senders.max(1), cache_tokens }
    }
}
