//! Validation of a configuration.

use super::document::{ROUTES, SERVICES, TENANTS};
use super::error::ConfigurationError;
use super::types::{Configuration, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet};

impl Configuration {
    /// Validates the configuration; `current` is the version of the configuration in force.
    ///
    /// # Errors
    ///
    /// The [`ConfigurationError`] of the first rule that is violated: a version not above `current`, a number out of range, a
    /// duplicate name, an invalid route, or a key of two tenants.
    pub fn validate(&self, current: u64) -> Result<(), ConfigurationError> {
        if self.version <= current {
            return Err(ConfigurationError::NotNewer { version: self.version, current });
        }
        self.check_numbers()?;
        let services = unique_names(SERVICES, self.services.iter().map(|service| service.name.as_str()))?;
        unique_names(ROUTES, self.routes.iter().map(|route| route.name.as_str()))?;
        let mut host_prefixes: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            validate_route(route, &services)?;
            if let Some(first_route) = host_prefixes.insert((&route.host, &route.prefix), &route.name) {
                return Err(ConfigurationError::DuplicateRoute {
                    first: first_route.to_owned(),
                    second: route.name.clone(),
                });
            }
        }
        validate_tenants(self.tenants.as_deref().unwrap_or_default())
    }
}

/// Collects the names of a list's items, each of which must be unique.
fn unique_names<'a>(
    kind: &'static str,
    names: impl Iterator<Item = &'a str>,
) -> Result<BTreeSet<&'a str>, ConfigurationError> {
    let mut unique = BTreeSet::new();
    for name in names {
        if !unique.insert(name) {
            return Err(ConfigurationError::DuplicateName { kind, name: name.to_owned() });
        }
    }
    Ok(unique)
}

fn validate_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    let weights = route.weighted_services();
    if let Some((service, _)) = weights.iter().find(|(service, _)| !services.contains(service)) {
        let (route, service) = (route.name.clone(), (*service).to_owned());
        return Err(ConfigurationError::UnknownService { route, service });
    }
    if weights.iter().all(|(_, weight)| *weight == 0.0) {
        return Err(ConfigurationError::ZeroWeight { route: route.name.clone() });
    }
    if route.deadline_ms == 0.0 {
        return Err(ConfigurationError::ZeroTimeout { route: route.name.clone() });
    }
    Ok(())
}

fn validate_tenants(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    unique_names(TENANTS, tenants.iter().map(|tenant| tenant.name.as_str()))?;
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in tenants {
        for key in tenant.keys.iter().flatten() {
            if let Some(first_owner) = owners.insert(key, &tenant.name)
                && first_owner != tenant.name
            {
                return Err(ConfigurationError::SharedKey {
                    first: first_owner.to_owned(),
                    second: tenant.name.clone(),
                });
            }
        }
    }
    Ok(())
}
