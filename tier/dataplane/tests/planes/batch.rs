//! Batch jobs: couriers accept them on routes that they know, stores decide about their items. The data of the shards is not part of
//! the simulation: a job is at one store at a time, and may be taken over by another one.

use crate::machine::{Machine, MachineId};
use crate::world::World;
use quillmount_dataplane::batch_item::{ItemDecision, ItemProgress, decide};
use quillmount_test_support::simulation::{SECOND, Simulation, Time};
use quillmount_wire::messages::NodeRole;

/// Longest time for which an item waits for an endpoint before the store decides about it.
const MAX_WAIT: Time = 3 * SECOND;
/// Percentage of undecided jobs that another store takes over, for each round of decisions.
const TAKEOVER_PERCENT: u64 = 1;

/// A job with one item that was accepted and is neither run nor given up.
pub struct AcceptedJob {
    route: String,
    /// Version of the configuration in force at the courier that accepted it.
    accepted_under: u64,
    /// The store that runs its item.
    store: MachineId,
    /// Time at which this store first knew the job.
    known_since: Time,
    /// Time at which the item's turn comes.
    turn_at: Time,
}

impl World {
    /// Passes a job that a courier accepts to a random store, if the store can be reached.
    pub fn accept_job(&mut self, courier: MachineId, route: &str) {
        let Some(store) = self.draw_store() else { return };
        if self.partitions.is_blocked(courier, store) {
            return;
        }
        let accepted_under = self.machines[courier].state.tables.versions.configuration;
        let known_since = self.now();
        let turn_at = known_since + self.batch_random.below(MAX_WAIT);
        self.jobs.push(AcceptedJob { route: route.to_owned(), accepted_under, store, known_since, turn_at });
    }

    /// Lets the stores decide about the items of their jobs.
    pub fn decide_items(&mut self) {
        for job in std::mem::take(&mut self.jobs) {
            if !self.is_running(job.store) {
                self.take_over(job);
                continue;
            }
            if self.now() < job.turn_at {
                self.jobs.push(job);
                continue;
            }
            let is_taken_over = self.batch_random.chance(TAKEOVER_PERCENT);
            match self.decide_item(&job) {
                ItemDecision::Run(_) => {}
                ItemDecision::GiveUp(_) => {
                    let version = self.machines[job.store].state.tables.versions.configuration;
                    self.audit.check_given_up(job.store, &job.route, version, job.accepted_under);
                }
                ItemDecision::Defer if is_taken_over => self.take_over(job),
                ItemDecision::Defer => self.jobs.push(job),
            }
        }
    }

    fn decide_item(&self, job: &AcceptedJob) -> ItemDecision<'_> {
        let state = &self.machines[job.store].state;
        let route = state.tables.routes.by_name(&job.route).map(|route| &**route);
        let progress = ItemProgress {
            age: self.now() - job.known_since,
            failures: 0,
            has_configuration_of_job: state.contact.has_configurations_of(job.known_since),
        };
        decide(route, progress)
    }

    /// Passes a job to another store, or leaves it where it is if none runs.
    fn take_over(&mut self, job: AcceptedJob) {
        let successor = self.draw_store();
        let known_since = if successor.is_some() { self.now() } else { job.known_since };
        self.jobs.push(AcceptedJob { store: successor.unwrap_or(job.store), known_since, ..job });
    }

    /// A random store that runs.
    fn draw_store(&mut self) -> Option<MachineId> {
        let is_running_store =
            |machine: &&Machine| machine.role == NodeRole::Store && self.is_running(machine.id);
        let stores: Vec<MachineId> =
            self.machines.iter().filter(is_running_store).map(|machine| machine.id).collect();
        (!stores.is_empty()).then(|| stores[self.batch_random.index(stores.len())])
    }
}
