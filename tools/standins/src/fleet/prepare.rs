//! Prepares a fleet: partners, platform and links, and the folder and the files of each courier.

use super::error::FleetError;
use super::link::Link;
use super::member::{self, Member};
use super::setup::{FleetSetup, PartnerSetup};
use super::{Fleet, LinkEnds};
use crate::config;
use crate::partner::Partner;
use crate::platform::Platform;
use crate::record::Recorder;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;

/// Voters of a fleet with enough couriers; a smaller one has a single voter.
const VOTERS: usize = 3;

impl Fleet {
    /// Prepares a fleet without starting a courier; [`Fleet::spawn`] does that. Must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port or folder, or a file can't be written.
    pub fn prepare(mut setup: FleetSetup) -> Result<Fleet, FleetError> {
        let partners = std::mem::take(&mut setup.partners);
        let mut fleet = Fleet::open(&setup, partners).map_err(|source| FleetError::Prepare { source })?;
        for courier in 0..setup.couriers {
            let config = fleet.configuration(courier, &setup);
            fleet.members[courier].config = config.map_err(|source| FleetError::Configuration { source })?;
            if let Some(changes) = &setup.fleet {
                fleet.members[courier].operator["fleet"] = fleet.operator_section(courier, changes);
            }
            fleet.members[courier].create_files()?;
        }
        Ok(fleet)
    }

    /// Opens partners, platform and links, and reserves the ports of the couriers.
    fn open(setup: &FleetSetup, partners: Vec<PartnerSetup>) -> std::io::Result<Fleet> {
        let recorder = new_recorder(setup.couriers);
        let platform = Platform::open(setup.couriers, recorder.clone())?;
        let partners = open_partners(partners, setup.couriers, &recorder)?;
        let root = tempfile::Builder::new().prefix("quillmount-fleet-").tempdir()?;
        let members = reserve_members(root.path(), setup)?;
        let links = open_links(&members, &recorder)?;
        Ok(Fleet { recorder, platform, partners, members, links, levels: setup.levels.clone(), _root: root })
    }

    /// The configuration of a courier: the example's, with the addresses of the harness and the changes of the setup.
    fn configuration(&self, courier: usize, setup: &FleetSetup) -> serde_json::Result<Value> {
        let member = &self.members[courier];
        let endpoints: Vec<Value> = self
            .partners
            .iter()
            .enumerate()
            .map(|(number, partner)| {
                let id = format!("partner-{number}");
                config::listed_endpoint(&id, partner.addr(courier), partner.dest)
            })
            .collect();
        let mut generator = fastrand::Rng::with_seed(setup.seed.wrapping_add(courier as u64));
        let addresses = json!({
            "name": member.name,
            "listen": member.ports.clients.addr,
            "operator": member.ports.operators.addr,
            "discovery": self.platform.addr(courier),
            "seed": format!("{:016x}", generator.u64(..)),
            "known": {"servers": endpoints},
            "settings": {"me": courier, "siblings": self.members.len()},
        });
        let mut configuration = config::example()?;
        config::merge(&mut configuration, &addresses);
        config::merge(&mut configuration, &setup.config);
        if let Some(changes) = setup.configs.get(&courier) {
            config::merge(&mut configuration, changes);
        }
        Ok(configuration)
    }

    /// The section `fleet` of a courier's operator file, with the changes of the setup.
    fn operator_section(&self, courier: usize, changes: &Value) -> Value {
        let member = &self.members[courier];
        let listen = member.ports.peers.addr;
        let members: Vec<Value> = self
            .members
            .iter()
            .enumerate()
            .map(|(to, other)| {
                let addr = self.links.get(&LinkEnds { from: courier, to }).map_or(listen, Link::addr);
                json!({"name": other.name, "addr": addr, "host": format!("h{to}")})
            })
            .collect();
        let voters = if self.members.len() < VOTERS { 1 } else { VOTERS };
        let voters: Vec<&str> = self.members[..voters].iter().map(|voter| voter.name.as_str()).collect();
        let mut section = json!({
            "on": true,
            "me": member.name,
            "listen": listen,
            "members": members,
            "voters": voters,
        });
        config::merge(&mut section, changes);
        section
    }
}

/// A recorder of a run with this many couriers.
fn new_recorder(couriers: usize) -> Recorder {
    let recorder = Recorder::default();
    recorder.write(|record, _| {
        record.names = (0..couriers).map(member::name).collect();
        record.ended = vec![0; couriers];
    });
    recorder
}

fn open_partners(
    setups: Vec<PartnerSetup>,
    couriers: usize,
    recorder: &Recorder,
) -> std::io::Result<Vec<Partner>> {
    let open = |(number, setup): (usize, PartnerSetup)| {
        Partner::open(number, setup.destination, couriers, recorder.clone(), setup.answers)
    };
    setups.into_iter().enumerate().map(open).collect()
}

fn reserve_members(root: &Path, setup: &FleetSetup) -> std::io::Result<Vec<Member>> {
    (0..setup.couriers).map(|number| Member::new(number, root, setup)).collect()
}

/// Opens a link from each courier to each other one.
fn open_links(members: &[Member], recorder: &Recorder) -> std::io::Result<BTreeMap<LinkEnds, Link>> {
    let mut links = BTreeMap::new();
    for from in 0..members.len() {
        for (to, member) in members.iter().enumerate().filter(|(to, _)| *to != from) {
            let link = Link::open(from, to, member.ports.peers.addr, recorder.clone())?;
            links.insert(LinkEnds { from, to }, link);
        }
    }
    Ok(links)
}
