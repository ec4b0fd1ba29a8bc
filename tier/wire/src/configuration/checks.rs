//! The rules of a valid configuration.

use super::document::{ROUTES, SERVICES, TENANTS};
use super::error::ConfigurationError;
use super::types::{Configuration, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};

impl Configuration {
    /// Checks the rules of a valid configuration; `current` is the version of the one in force.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError`], by the first rule that is broken.
    pub fn check(&self, current: u64) -> Result<(), ConfigurationError> {
        if self.version <= current {
            return Err(ConfigurationError::NotNewer { version: self.version, current });
        }
        self.check_numbers()?;
        let services = unique_names(SERVICES, self.services.iter().map(|service| service.name.as_str()))?;
        unique_names(ROUTES, self.routes.iter().map(|route| route.name.as_str()))?;
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

/// The names, each of which must occur once.
fn unique_names<'a>(
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
    if shares.iter().all(|(_, weight)| *weight == 0.0) {
        return Err(ConfigurationError::ZeroWeight { route: route.name.clone() });
    }
    if route.deadline_ms == 0.0 {
        return Err(ConfigurationError::ZeroTimeout { route: route.name.clone() });
    }
    Ok(())
}

fn check_keys(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    unique_names(TENANTS, tenants.iter().map(|tenant| tenant.name.as_str()))?;
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
