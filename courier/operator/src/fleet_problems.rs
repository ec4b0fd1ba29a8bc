//! Checks of the section `fleet` that its types can't express: limits, and names and addresses that have to agree. A section that
//! is off is not checked.

use crate::fleet::{CALL_MAX, Fleet, FleetMember, OnMissing, SettlementMode};
use crate::problems::Problem;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Members of one fleet at most: each has a connection to each, and the agreed state names all of them.
const MEMBERS_MAX: usize = 1_000;
/// Bytes of a member's name at most: it goes into file names and log lines.
const NAME_MAX: usize = 64;
/// Clocks whose rates differ by more are broken ones.
const DRIFT_MAX: f64 = 0.05;
/// A leader's silence is noticed after an election time-out, two of them in the worst case; a shorter lease would lapse
/// with each leader that is lost.
const LEASE_MIN: Duration = Duration::from_millis(1_500);
const LEASE_MAX: Duration = Duration::from_secs(60);
const COPIES_MAX: usize = 3;

/// All that is wrong with the section, in the order of the checks.
pub(crate) fn problems(fleet: &Fleet) -> Vec<Problem> {
    if !fleet.on {
        return Vec::new();
    }
    let mut checks = Checks { fleet, found: Vec::new() };
    let names = checks.members();
    checks.own_place(&names);
    checks.voters(&names);
    checks.settlements();
    checks.times();
    checks.copies();
    checks.found
}

/// A pass through the section, and what it has found so far.
struct Checks<'a> {
    fleet: &'a Fleet,
    found: Vec<Problem>,
}

impl<'a> Checks<'a> {
    /// Notes a problem at `path` below the section unless the check holds.
    fn require(&mut self, is_valid: bool, path: impl std::fmt::Display, what: impl Into<String>) {
        if !is_valid {
            self.found.push(Problem::new(format!("$.fleet.{path}"), what));
        }
    }

    /// Checks all members, and returns their names.
    fn members(&mut self) -> BTreeSet<&'a str> {
        let members = &self.fleet.members;
        self.require(
            members.len() <= MEMBERS_MAX,
            "members",
            format!("{} couriers, where {MEMBERS_MAX} are the most", members.len()),
        );
        let mut names = BTreeSet::new();
        let mut addrs = BTreeSet::new();
        for (n, member) in members.iter().enumerate() {
            let path = format!("members[{n}].name");
            let name = &member.name;
            self.require(
                is_name(name),
                &path,
                format!("{name:?}: letters, digits, - and _, {NAME_MAX} at most"),
            );
            self.require(
                names.insert(name.as_str()),
                &path,
                format!("{name:?} is there twice: give each courier a name of its own"),
            );
            self.member_address(n, member, &mut addrs);
        }
        names
    }

    fn member_address(&mut self, n: usize, member: &FleetMember, known: &mut BTreeSet<SocketAddr>) {
        let path = format!("members[{n}].addr");
        match self.address(&member.addr) {
            Err(what) => self.require(false, path, what),
            Ok(addr) => self.require(
                known.insert(addr),
                path,
                format!("{addr} is another member's too: give each courier an address of its own"),
            ),
        }
    }

    /// Reads an address, or says what is wrong with it.
    fn address(&self, text: &str) -> Result<SocketAddr, String> {
        let addr: SocketAddr = text.parse().map_err(|_| format!("{text:?} is no address with a port"))?;
        if self.fleet.beyond_loopback || addr.ip().is_loopback() {
            Ok(addr)
        } else {
            Err(format!("{addr} is off this machine: `beyond_loopback` lets it through"))
        }
    }

    /// Checks this courier's own name and address.
    fn own_place(&mut self, names: &BTreeSet<&str>) {
        let me = &self.fleet.me;
        self.require(
            names.contains(me.as_str()),
            "me",
            format!("{me:?} is not among the members: name this courier as it is named there"),
        );
        if let Err(what) = self.address(&self.fleet.listen) {
            self.require(false, "listen", what);
        }
    }

    fn voters(&mut self, names: &BTreeSet<&str>) {
        let voters = &self.fleet.voters;
        self.require(
            matches!(voters.len(), 1 | 3 | 5),
            "voters",
            format!(
                "{} of them: name one, three or five, as an even number stands no more losses",
                voters.len()
            ),
        );
        let mut known = BTreeSet::new();
        for (n, voter) in voters.iter().enumerate() {
            let path = format!("voters[{n}]");
            self.require(
                names.contains(voter.as_str()),
                &path,
                format!("{voter:?} is not among the members"),
            );
            self.require(known.insert(voter), &path, format!("{voter:?} is there twice"));
        }
    }

    fn settlements(&mut self) {
        let mut dests = BTreeSet::new();
        for (n, settlement) in self.fleet.settlements.iter().enumerate() {
            self.require(
                dests.insert(settlement.dest),
                format!("settlements[{n}].dest"),
                format!(
                    "{} is there twice: a partner takes all its settlements in one mode",
                    settlement.dest
                ),
            );
            self.require(
                settlement.mode == SettlementMode::Message,
                format!("settlements[{n}].mode"),
                "sessions are not carried yet: say \"message\", or leave the partner out",
            );
        }
    }

    /// Checks the clock drift, the lease and the longest call.
    fn times(&mut self) {
        let Fleet { drift, lease, partner_call, .. } = self.fleet;
        self.require(
            (0.0..=DRIFT_MAX).contains(drift),
            "drift",
            format!("from 0 to {DRIFT_MAX} is possible, not {drift}"),
        );
        self.require(
            (LEASE_MIN..=LEASE_MAX).contains(&lease.0),
            "lease",
            format!(
                "from {LEASE_MIN:?}, in which a lost leader is replaced, to {LEASE_MAX:?} is possible, not {lease}"
            ),
        );
        self.require(
            partner_call.0 > Duration::ZERO && partner_call.0 <= CALL_MAX,
            "partner_call",
            format!("up to {CALL_MAX:?}, a message's longest time, is possible, not {partner_call}"),
        );
    }

    fn copies(&mut self) {
        let Fleet { copies, members, on_missing, .. } = self.fleet;
        self.require(
            (1..=COPIES_MAX).contains(copies),
            "copies",
            format!("from 1 to {COPIES_MAX} is possible, not {copies}"),
        );
        self.require(
            *on_missing == OnMissing::Prefer || *copies < members.len(),
            "copies",
            format!("{copies} copies need {} members, and there are {}", copies + 1, members.len()),
        );
    }
}

fn is_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.len() <= NAME_MAX && name.chars().all(fits)
}
