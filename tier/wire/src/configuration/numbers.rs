//! Validation of the numbers in a configuration.

use super::document::{ROUTES, SERVICES};
use super::types::{Autoscale, ClientLimits, Configuration, Route, Runtime, Service};
use crate::ranges::{COUNT, DURATION_MS, DURATION_S, OutOfRange, QUANTITY};

impl Configuration {
    /// Checks that every number is within its range.
    pub(super) fn check_numbers(&self) -> Result<(), OutOfRange> {
        self.routes.iter().try_for_each(Route::check_numbers)?;
        self.services.iter().try_for_each(Service::check_numbers)?;
        self.limits.as_ref().map_or(Ok(()), ClientLimits::check_numbers)
    }
}

impl Route {
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        let field = |name: &str| format!("{ROUTES}[{}].{name}", self.name);
        DURATION_MS.check(&field("DeadlineMs"), self.deadline_ms)?;
        DURATION_MS.check_optional(&field("TargetMs"), self.target_ms)?;
        DURATION_MS.check_optional(&field("gap_aim_ms"), self.target_gap_ms)?;
        DURATION_MS.check_optional(&field("DueMs"), self.due_ms)?;
        DURATION_S.check_optional(&field("RetainS"), self.retain_s)?;
        QUANTITY.check_optional(&field("MaxQueued"), self.max_queued_tokens)?;
        let mut shares = self.shares.iter().flatten();
        shares.try_for_each(|share| {
            QUANTITY.check(&field(&format!("Shares[{}].Wt", share.service)), share.weight)
        })
    }
}

impl Service {
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        let path = format!("{SERVICES}[{}]", self.name);
        COUNT.check_optional(&format!("{path}.MaxConns"), self.max_connections)?;
        self.runtime.as_ref().map_or(Ok(()), |runtime| runtime.check_numbers(&path))?;
        self.autoscale.as_ref().map_or(Ok(()), |bounds| bounds.check_numbers(&path))
    }
}

impl Runtime {
    fn check_numbers(&self, path: &str) -> Result<(), OutOfRange> {
        COUNT.check_optional(&format!("{path}.Runtime.Capacity"), self.capacity)?;
        QUANTITY.check_optional(&format!("{path}.Runtime.KvCap"), self.kv_cache_tokens)
    }
}

impl Autoscale {
    fn check_numbers(&self, path: &str) -> Result<(), OutOfRange> {
        COUNT.check(&format!("{path}.Autoscale.Floor"), self.floor)?;
        COUNT.check(&format!("{path}.Autoscale.Ceil"), self.ceiling)?;
        DURATION_S.check_optional(&format!("{path}.Autoscale.BootS"), self.boot_s)
    }
}

impl ClientLimits {
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        DURATION_MS.check("Limits.HdrMs", self.head_timeout_ms)?;
        DURATION_MS.check("Limits.IdleMs", self.idle_timeout_ms)
    }
}
