//! The operator file's section `fleet` as the configuration of the member machine.

use quillmount_fleet::budget::{self, Budget, BudgetProblem, Tenant};
use quillmount_fleet::config::{FleetConfig, MissingReplicas, Peer};
use quillmount_operator::fleet::{Fleet, FleetBudget, FleetTenant, OnMissing};
use quillmount_policy::Micros;

/// The member machine's configuration.
pub fn config_from(settings: &Fleet) -> FleetConfig {
    FleetConfig {
        local_name: settings.me.clone(),
        peers: settings
            .members
            .iter()
            .map(|member| Peer { name: member.name.clone(), host: member.host.clone() })
            .collect(),
        voters: settings.voters.clone(),
        lease: settings.lease.0.as_micros() as Micros,
        drift: settings.drift,
        replicas: settings.copies,
        missing_replicas: match settings.on_missing {
            OnMissing::Require => MissingReplicas::Require,
            OnMissing::Prefer => MissingReplicas::Prefer,
        },
        budgets: budgets_from(settings),
        max_call: settings.partner_call.0.as_micros() as Micros,
        max_idle: settings.partner_idle.0.as_micros() as Micros,
    }
}

fn budgets_from(settings: &Fleet) -> Vec<Budget> {
    let tenant = |settings: &FleetTenant| Tenant {
        name: settings.name.clone(),
        weight: settings.weight,
        floor: settings.floor,
        ceiling: settings.ceiling,
    };
    let budget = |settings: &FleetBudget| Budget {
        dest: settings.dest,
        connections: settings.connections,
        calls: settings.calls,
        span_ms: settings.span.map(|span| span.0.as_millis() as u64),
        courier_floor: settings.courier_floor,
        tenants: settings.tenants.iter().map(tenant).collect(),
    };
    settings.budgets.iter().map(budget).collect()
}

/// Problems of the budgets that neither the section's types nor its own checks find, each with its path.
pub fn problems(settings: &Fleet) -> Vec<BudgetProblem> {
    if settings.on { budget::check(&budgets_from(settings), settings.members.len()) } else { Vec::new() }
}
