//! Checks of the section `fleet`. A section that is off is not checked.

use super::SectionChecks;
use crate::fleet::{Fleet, FleetMember, MAX_PARTNER_CALL, OnMissing, SettlementMode};
use crate::problems::Problem;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Members of one fleet at most: each has a connection to each, and the replicated state names all of them.
const MAX_MEMBERS: usize = 1_000;
/// Bytes of a member's name at most: it is part of file names and log lines.
const MAX_NAME_LENGTH: usize = 64;
/// Clocks whose rates differ by more, as a fraction of one, are faulty.
const MAX_DRIFT: f64 = 0.05;
/// The failure of a leader is noticed after an election time-out, two of them in the worst case; a shorter lease would expire
/// with each leader that fails.
const MIN_LEASE: Duration = Duration::from_millis(1_500);
/// A failed courier's work rests for the lease: a longer one is a mistake.
const MAX_LEASE: Duration = Duration::from_secs(60);
/// Replicas of one journal at most.
const MAX_REPLICAS: usize = 3;

/// Everything that is wrong with the section, in the order of the checks.
pub(crate) fn fleet_problems(fleet: &Fleet) -> Vec<Problem> {
    if !fleet.on {
        return Vec::new();
    }
    let mut checks = FleetChecks { fleet, checks: SectionChecks::new("fleet") };
    let names = checks.members();
    checks.own_address(&names);
    checks.voters(&names);
    checks.settlements();
    checks.times();
    checks.replicas();
    checks.checks.problems
}

/// Couriers can't use an address.
#[derive(Debug, thiserror::Error)]
enum AddressError {
    /// It is no IP address with a port.
    #[error("{text:?} is no address with a port")]
    Malformed {
        /// The text.
        text: String,
        /// The parser's error, which adds nothing to the text.
        source: std::net::AddrParseError,
    },
    /// It is on another machine, and `beyond_loopback` is off.
    #[error("{0} is off this machine: `beyond_loopback` lets it through")]
    NotLoopback(SocketAddr),
}

struct FleetChecks<'a> {
    fleet: &'a Fleet,
    checks: SectionChecks,
}

impl<'a> FleetChecks<'a> {
    /// Checks all members, and returns their names.
    fn members(&mut self) -> BTreeSet<&'a str> {
        let members = &self.fleet.members;
        self.checks.require(
            members.len() <= MAX_MEMBERS,
            "members",
            format!("{} couriers, where {MAX_MEMBERS} are the most", members.len()),
        );
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, member) in members.iter().enumerate() {
            let path = format!("members[{index}].name");
            let name = &member.name;
            self.checks.require(
                is_member_name(name),
                &path,
                format!("{name:?}: letters, digits, - and _, {MAX_NAME_LENGTH} at most"),
            );
            self.checks.require(
                names.insert(name.as_str()),
                &path,
                format!("{name:?} is there twice: give each courier a name of its own"),
            );
            self.member_address(index, member, &mut addresses);
        }
        names
    }

    fn member_address(&mut self, index: usize, member: &FleetMember, known: &mut BTreeSet<SocketAddr>) {
        let path = format!("members[{index}].addr");
        match self.address(&member.addr) {
            Err(error) => self.checks.report(path, error.to_string()),
            Ok(addr) => self.checks.require(
                known.insert(addr),
                path,
                format!("{addr} is another member's too: give each courier an address of its own"),
            ),
        }
    }

    /// Parses an address, and checks that couriers may use it.
    fn address(&self, text: &str) -> Result<SocketAddr, AddressError> {
        let malformed = |source| AddressError::Malformed { text: text.to_owned(), source };
        let addr: SocketAddr = text.parse().map_err(malformed)?;
        if self.fleet.beyond_loopback || addr.ip().is_loopback() {
            Ok(addr)
        } else {
            Err(AddressError::NotLoopback(addr))
        }
    }

    /// Checks this courier's own name and address.
    fn own_address(&mut self, names: &BTreeSet<&str>) {
        let me = &self.fleet.me;
        self.checks.require(
            names.contains(me.as_str()),
            "me",
            format!("{me:?} is not among the members: name this courier as it is named there"),
        );
        if let Err(error) = self.address(&self.fleet.listen) {
            self.checks.report("listen", error.to_string());
        }
    }

    fn voters(&mut self, names: &BTreeSet<&str>) {
        let voters = &self.fleet.voters;
        self.checks.require(
            matches!(voters.len(), 1 | 3 | 5),
            "voters",
            format!(
                "{} of them: name one, three or five, as an even number stands no more losses",
                voters.len()
            ),
        );
        let mut known = BTreeSet::new();
        for (index, voter) in voters.iter().enumerate() {
            let path = format!("voters[{index}]");
            self.checks.require(
                names.contains(voter.as_str()),
                &path,
                format!("{voter:?} is not among the members"),
            );
            self.checks.require(known.insert(voter), &path, format!("{voter:?} is there twice"));
        }
    }

    fn settlements(&mut self) {
        let mut dests = BTreeSet::new();
        for (index, settlement) in self.fleet.settlements.iter().enumerate() {
            self.checks.require(
                dests.insert(settlement.dest),
                format!("settlements[{index}].dest"),
                format!(
                    "{} is there twice: a partner takes all its settlements in one mode",
                    settlement.dest
                ),
            );
            self.checks.require(
                settlement.mode == SettlementMode::Message,
                format!("settlements[{index}].mode"),
                "sessions are not carried yet: say \"message\", or leave the partner out",
            );
        }
    }

    /// Checks the clock drift, the lease and the longest call.
    fn times(&mut self) {
        let Fleet { drift, lease, partner_call, .. } = self.fleet;
        self.checks.require(
            (0.0..=MAX_DRIFT).contains(drift),
            "drift",
            format!("from 0 to {MAX_DRIFT} is possible, not {drift}"),
        );
        self.checks.require(
            (MIN_LEASE..=MAX_LEASE).contains(&lease.0),
            "lease",
            format!(
                "from {MIN_LEASE:?}, in which a lost leader is replaced, to {MAX_LEASE:?} is possible, not {lease}"
            ),
        );
        self.checks.require(
            partner_call.0 > Duration::ZERO && partner_call.0 <= MAX_PARTNER_CALL,
            "partner_call",
            format!("up to {MAX_PARTNER_CALL:?}, a message's longest time, is possible, not {partner_call}"),
        );
    }

    fn replicas(&mut self) {
        let Fleet { copies, members, on_missing, .. } = self.fleet;
        self.checks.require(
            (1..=MAX_REPLICAS).contains(copies),
            "copies",
            format!("from 1 to {MAX_REPLICAS} is possible, not {copies}"),
        );
        self.checks.require(
            *on_missing == OnMissing::Prefer || *copies < members.len(),
            "copies",
            format!(
                "{copies} copies need {} members, and there are {}",
                copies.saturating_add(1),
                members.len()
            ),
        );
    }
}

fn is_member_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(fits)
}
