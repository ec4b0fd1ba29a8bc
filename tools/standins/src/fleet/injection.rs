//! Injects faults into a fleet, and repairs them.

use super::Fleet;
use super::error::FleetError;
use crate::fault::{Fault, LinkMode};
use crate::listener::ListenerMode;

impl Fleet {
    /// Injects a fault, and does not wait for its effects. A fault of a courier that is not running does nothing.
    ///
    /// # Errors
    /// The fault could not be injected.
    pub async fn inject(&mut self, fault: Fault) -> Result<(), FleetError> {
        let is_running = |courier: usize| self.members[courier].process.is_some();
        match fault {
            Fault::Kill(courier) => self.kill(courier).await?,
            Fault::Start(courier) if !is_running(courier) => self.spawn(courier)?,
            Fault::LoseFolder(courier) => self.lose_folder(courier).await?,
            Fault::Suspend(courier) if is_running(courier) => self.suspend(courier)?,
            Fault::Resume(courier) if is_running(courier) => self.resume(courier)?,
            Fault::Sigterm(courier) if is_running(courier) => self.send_sigterm(courier)?,
            Fault::Sighup(courier) if is_running(courier) => self.send_sighup(courier)?,
            Fault::Link { from, to, mode } => self.link(from, to).set(mode),
            Fault::Request { from, to, fault } => self.link(from, to).fault_next_request(fault),
            Fault::Close { from, to } => self.link(from, to).close(),
            Fault::Partner { courier, partner, mode } => self.partner(partner).set(courier, mode),
            Fault::Platform { courier, mode } => self.platform.set(courier, mode),
            Fault::Start(_) | Fault::Suspend(_) | Fault::Resume(_) | Fault::Sigterm(_) | Fault::Sighup(_) => {
            }
        }
        Ok(())
    }

    /// Ends all faults: links pass, listeners are open, suspended couriers continue, others start with their folder as it is.
    /// Waits until all couriers serve.
    ///
    /// # Errors
    /// A courier did not serve in time.
    pub async fn heal(&mut self) -> Result<(), FleetError> {
        for link in self.links.values().filter(|link| link.mode() != LinkMode::Pass) {
            link.set(LinkMode::Pass);
        }
        for courier in 0..self.members.len() {
            self.open_listeners(courier);
            match &self.members[courier].process {
                Some(process) if process.paused => self.resume(courier)?,
                Some(_) => {}
                None => self.spawn(courier)?,
            }
        }
        self.wait_until_all_serve().await
    }

    /// Opens the listeners of a courier at the platform and at all partners.
    fn open_listeners(&self, courier: usize) {
        if !self.platform.is_open(courier) {
            self.platform.set(courier, ListenerMode::Open);
        }
        for partner in self.partners.iter().filter(|partner| !partner.is_open(courier)) {
            partner.set(courier, ListenerMode::Open);
        }
    }

    /// Sets the mode of all links from and to a courier.
    pub fn set_links(&self, courier: usize, mode: LinkMode) {
        for (ends, link) in &self.links {
            if ends.from == courier || ends.to == courier {
                link.set(mode);
            }
        }
    }

    /// Drops all that `from` sends to `to`, requests and answers; what `to` sends to `from` arrives.
    pub fn partition_one_way(&self, from: usize, to: usize) {
        self.link(from, to).set(LinkMode::RequestsLost);
        self.link(to, from).set(LinkMode::AnswersLost);
    }

    /// Sets the mode of all links between the couriers in `half` and the others.
    pub fn partition(&self, half: &[usize], mode: LinkMode) {
        for (ends, link) in &self.links {
            if half.contains(&ends.from) != half.contains(&ends.to) {
                link.set(mode);
            }
        }
    }
}
