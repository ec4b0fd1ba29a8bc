//! The section `fleet`: couriers that take over each other's work when one fails (`docs/fleet.md`). Off by default, and off on
//! the platform, whose couriers share nothing.

use crate::units::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The default of `partner_call`, and its limit: the longest time of a message by the platform's pages.
pub(crate) const MAX_PARTNER_CALL: Duration = Duration::from_secs(30);

/// Couriers as one fleet. Read at the start only, but for `voters`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Fleet {
    /// Whether the section is in force.
    #[schemars(description = "")]
    pub on: bool,
    /// This courier's name among the members.
    pub me: String,
    /// Where this courier listens for the others.
    pub listen: String,
    /// All couriers of the fleet, this one included, each with the address at which this courier reaches it.
    pub members: Vec<FleetMember>,
    /// The members that vote on the replicated state: one, three or five. The first of them founds a new fleet, for which all
    /// of them have to be up.
    #[schemars(
        description = "Those who agree: one, three or five of the members. The first of them begins a new fleet, for which \
                       all of them have\nto be up."
    )]
    pub voters: Vec<String>,
    /// How long a courier counts as up after its last message.
    #[schemars(description = "How long a courier counts as there after a word of it.")]
    pub lease: Span,
    /// By how much a courier's clock may run too fast or too slow, as a fraction of one.
    #[schemars(
        description = "By how much a courier's clock may run too fast or too slow, as a part of one."
    )]
    pub drift: f64,
    /// Replicas of each courier's journal, on as many other couriers: 1 to 3.
    #[schemars(
        range(min = 1, max = 3),
        description = "Couriers that hold a copy of each courier's journal: 1 to 3."
    )]
    pub copies: usize,
    /// What a courier does while no replica of its journal is up to date.
    #[schemars(description = "What a courier does where no copy of its journal is in step.")]
    pub on_missing: OnMissing,
    /// Partners that allow the whole fleet so many connections, and how tenants share them.
    pub budgets: Vec<FleetBudget>,
    /// A partner ends a connection within so long after the last that was written on it.
    pub partner_idle: Span,
    /// Partners whose settlements are carried: messages that name theirs in `X-Addressing` go out in order, one at a time.
    pub settlements: Vec<FleetSettlement>,
    /// A call to a partner with a budget has its connection for so long at most; one that is in flight for longer is given up,
    /// and may have run. The longer this is, the later the reservations of a failed courier are released.
    #[schemars(
        description = "A call to a partner with a budget has its connection for so long at most; one that is out for longer \
                       is given up, as\none that may have run. What a lost courier held comes free the later, the longer \
                       this is."
    )]
    pub partner_call: Span,
    /// Addresses on other machines are valid. Messages between couriers are neither encrypted nor authenticated.
    #[schemars(
        description = "Addresses off this machine are let through. What couriers say to each other is neither secret nor \
                       signed."
    )]
    pub beyond_loopback: bool,
}

/// One courier of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetMember {
    /// Letters, digits, `-` and `_`.
    pub name: String,
    /// Address and port at which this courier reaches it.
    #[schemars(description = "")]
    pub addr: String,
    /// Its failure domain, a machine or zone; replicas are placed in others first.
    #[serde(default)]
    #[schemars(description = "The machine or zone with which it is lost; copies go to others first.")]
    pub host: String,
}

/// What a partner allows the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetBudget {
    /// The partner's destination.
    pub dest: u64,
    /// Connections at once.
    pub connections: u32,
    /// Calls in each span.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<u32>,
    /// The span to which `calls` applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(description = "")]
    pub span: Option<Span>,
    /// Connections that each courier may use even when it is partitioned from the others.
    #[serde(default)]
    #[schemars(description = "Connections that each courier may use even when it is cut off.")]
    pub courier_floor: u32,
    /// Shares of the tenants. Those that are not named have weight 1, no floor and no limit.
    #[serde(default)]
    #[schemars(description = "Tenants that are not named have weight 1, no floor and no ceiling.")]
    pub tenants: Vec<FleetTenant>,
}

/// One tenant's part of a partner's budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetTenant {
    /// The name that clients give in `X-Account`.
    #[schemars(description = "")]
    pub name: String,
    /// Its weight in the division of what no floor reserves.
    #[serde(default = "default_weight")]
    #[schemars(description = "")]
    pub weight: f64,
    /// Connections that are reserved for it while it needs them.
    #[serde(default)]
    #[schemars(description = "Kept for it when it asks for it.")]
    pub floor: u32,
    /// Connections that it has at most; none: no limit of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(description = "")]
    pub ceiling: Option<u32>,
}

fn default_weight() -> f64 {
    1.0
}

/// How a partner's settlements are carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetSettlement {
    /// The partner's destination.
    pub dest: u64,
    /// How its messages go out.
    #[serde(default)]
    #[schemars(description = "")]
    pub mode: SettlementMode,
}

/// How the messages of a settlement go to its partner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(description = "")]
pub enum SettlementMode {
    /// Each message on its own, over any connection.
    #[default]
    Message,
    /// One connection from opening to closing. Not implemented yet: the checks reject it.
    #[schemars(description = "One connection from opening to closing. Not carried yet: it is refused.")]
    Session,
}

/// What a courier does without a replica of its journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(description = "")]
pub enum OnMissing {
    /// It rejects messages (503) and starts no call: a 202 always means two journals.
    #[schemars(
        description = "It refuses messages (503) and begins no call: a 202 always means two journals."
    )]
    #[default]
    Require,
    /// It goes on with its own journal once the fleet has committed that it has no replica, and reports so.
    #[schemars(
        description = "It goes on with its own journal once the fleet has agreed that it has no copy, and says so."
    )]
    Prefer,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            on: false,
            me: String::new(),
            listen: String::new(),
            members: Vec::new(),
            voters: Vec::new(),
            lease: Span(Duration::from_secs(2)),
            drift: 0.01,
            copies: 1,
            on_missing: OnMissing::default(),
            budgets: Vec::new(),
            partner_idle: Span(Duration::from_secs(15)),
            settlements: Vec::new(),
            partner_call: Span(MAX_PARTNER_CALL),
            beyond_loopback: false,
        }
    }
}
