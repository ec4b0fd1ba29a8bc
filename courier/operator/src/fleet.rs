//! The section `fleet`: couriers that go on with each other's work when one is lost. Off by default, and off on the platform,
//! whose couriers share nothing.

use crate::problems::Problem;
use crate::units::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Couriers of one fleet at most: each holds a connection to each, and the agreed state names all of them.
const MEMBERS_MOST: usize = 1_000;
/// A name goes into file names and log lines.
const NAME_MOST: usize = 64;
/// Clocks that differ by more are broken ones.
const DRIFT_MOST: f64 = 0.05;
/// A leader's silence is noticed after an election's time, twice in the worst case; a lease shorter than that would lapse
/// with each leader that is lost.
const LEASE_LEAST: Duration = Duration::from_millis(1_500);
const LEASE_MOST: Duration = Duration::from_secs(60);
const COPIES_MOST: usize = 3;
/// No invoker call writes for longer: the longest time of a message, by the newest pages.
const CALL_MOST: Duration = Duration::from_secs(30);

/// Couriers as one fleet. Read at the start only, but for `voters`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Fleet {
    pub on: bool,
    /// This courier's name among the members.
    pub me: String,
    /// Where this courier listens for the others.
    pub listen: String,
    /// All couriers of the fleet, this one included, each with the address at which this courier reaches it.
    pub members: Vec<FleetMember>,
    /// Those who agree: one, three or five of the members. The first of them begins a new fleet, for which all of them have
    /// to be up.
    pub voters: Vec<String>,
    /// How long a courier counts as there after a word of it.
    pub lease: Span,
    /// By how much a courier's clock may run too fast or too slow, as a part of one.
    pub drift: f64,
    /// Couriers that hold a copy of each courier's journal: 1 to 3.
    #[schemars(range(min = 1, max = 3))]
    pub copies: usize,
    /// What a courier does where no copy of its journal is in step.
    pub on_missing: OnMissing,
    /// Partners that allow the whole fleet so many connections, and how tenants share them.
    pub budgets: Vec<FleetBudget>,
    /// A partner ends a connection within so long after the last that was written on it.
    pub partner_idle: Span,
    /// Partners whose settlements are carried: messages that name theirs in `X-Addressing` go out in order, one at a time.
    pub settlements: Vec<FleetSettlement>,
    /// A call to a partner with a budget has its connection for so long at most; one that is out for longer is given up, as
    /// one that may have run. What a lost courier held comes free the later, the longer this is.
    pub partner_call: Span,
    /// Addresses off this machine are let through. What couriers say to each other is neither secret nor signed.
    pub beyond_loopback: bool,
}

/// One courier of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetMember {
    /// Letters, digits, `-` and `_`.
    pub name: String,
    pub addr: String,
    /// The machine or zone with which it is lost; copies go to others first.
    #[serde(default)]
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
    /// Connections that each courier may use even when it is cut off.
    #[serde(default)]
    pub courier_floor: u32,
    /// Tenants that are not named have weight 1, no floor and no ceiling.
    #[serde(default)]
    pub tenants: Vec<FleetTenant>,
}

/// One tenant's part of a partner's budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetTenant {
    pub name: String,
    #[serde(default = "one")]
    pub weight: f64,
    /// Kept for it when it asks for it.
    #[serde(default)]
    pub floor: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ceiling: Option<u32>,
}

fn one() -> f64 {
    1.0
}

/// How a partner's settlements are carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FleetSettlement {
    /// The partner's destination.
    pub dest: u64,
    #[serde(default)]
    pub mode: SettlementMode,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SettlementMode {
    /// Each message on its own, over any connection.
    #[default]
    Message,
    /// One connection from opening to closing. Not carried yet: it is refused.
    Session,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum OnMissing {
    /// It refuses messages (503) and begins no call: a 202 always means two journals.
    #[default]
    Require,
    /// It goes on with its own journal once the fleet has agreed that it has no copy, and says so.
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
            partner_call: Span(CALL_MOST),
            beyond_loopback: false,
        }
    }
}

impl Fleet {
    /// What no type can say. A section that is off is not looked at.
    pub(crate) fn problems(&self) -> Vec<Problem> {
        if !self.on {
            return Vec::new();
        }
        let mut found = Vec::new();
        let mut must = |is_valid: bool, path: String, what: String| {
            if !is_valid {
                found.push(Problem::new(format!("$.fleet.{path}"), what));
            }
        };
        let mut names = BTreeSet::new();
        let mut addrs = BTreeSet::new();
        must(
            self.members.len() <= MEMBERS_MOST,
            "members".into(),
            format!("{} couriers, where {MEMBERS_MOST} are the most", self.members.len()),
        );
        let addr = |text: &str| -> Result<SocketAddr, String> {
            let addr: SocketAddr = text.parse().map_err(|_| format!("{text:?} is no address with a port"))?;
            match self.beyond_loopback || addr.ip().is_loopback() {
                true => Ok(addr),
                false => Err(format!("{addr} is off this machine: `beyond_loopback` lets it through")),
            }
        };
        for (n, member) in self.members.iter().enumerate() {
            let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            must(
                !member.name.is_empty() && member.name.len() <= NAME_MOST && member.name.chars().all(fits),
                format!("members[{n}].name"),
                format!("{:?}: letters, digits, - and _, {NAME_MOST} at most", member.name),
            );
            must(
                names.insert(&member.name),
                format!("members[{n}].name"),
                format!("{:?} is there twice: give each courier a name of its own", member.name),
            );
            match addr(&member.addr) {
                Err(what) => must(false, format!("members[{n}].addr"), what),
                Ok(addr) => must(
                    addrs.insert(addr),
                    format!("members[{n}].addr"),
                    format!("{addr} is another member's too: give each courier an address of its own"),
                ),
            }
        }
        must(
            names.contains(&self.me),
            "me".into(),
            format!("{:?} is not among the members: name this courier as it is named there", self.me),
        );
        if let Err(what) = addr(&self.listen) {
            must(false, "listen".into(), what);
        }
        must(
            matches!(self.voters.len(), 1 | 3 | 5),
            "voters".into(),
            format!(
                "{} of them: name one, three or five, as an even number stands no more losses",
                self.voters.len()
            ),
        );
        let mut voters = BTreeSet::new();
        for (n, voter) in self.voters.iter().enumerate() {
            must(
                names.contains(voter),
                format!("voters[{n}]"),
                format!("{voter:?} is not among the members"),
            );
            must(voters.insert(voter), format!("voters[{n}]"), format!("{voter:?} is there twice"));
        }
        let mut settled = BTreeSet::new();
        for (n, settlement) in self.settlements.iter().enumerate() {
            must(
                settled.insert(settlement.dest),
                format!("settlements[{n}].dest"),
                format!(
                    "{} is there twice: a partner takes all its settlements in one mode",
                    settlement.dest
                ),
            );
            must(
                settlement.mode == SettlementMode::Message,
                format!("settlements[{n}].mode"),
                "sessions are not carried yet: say \"message\", or leave the partner out".into(),
            );
        }
        must(
            (0.0..=DRIFT_MOST).contains(&self.drift),
            "drift".into(),
            format!("from 0 to {DRIFT_MOST} is possible, not {}", self.drift),
        );
        must(
            (LEASE_LEAST..=LEASE_MOST).contains(&self.lease.0),
            "lease".into(),
            format!(
                "from {LEASE_LEAST:?}, in which a lost leader is replaced, to {LEASE_MOST:?} is possible, not {}",
                self.lease
            ),
        );
        must(
            self.partner_call.0 > Duration::ZERO && self.partner_call.0 <= CALL_MOST,
            "partner_call".into(),
            format!("up to {CALL_MOST:?}, a message's longest time, is possible, not {}", self.partner_call),
        );
        must(
            (1..=COPIES_MOST).contains(&self.copies),
            "copies".into(),
            format!("from 1 to {COPIES_MOST} is possible, not {}", self.copies),
        );
        must(
            self.on_missing == OnMissing::Prefer || self.copies < self.members.len(),
            "copies".into(),
            format!(
                "{} copies need {} members, and there are {}",
                self.copies,
                self.copies + 1,
                self.members.len()
            ),
        );
        found
    }
}
