//! The incidents of a simulated fleet: lost couriers with their takeover and return, drains, and changes of settings.

use crate::simulation::{DESTINATIONS, Simulation, SplitMix64};
use crate::world::{Micros, ProcessState, RESUME_AFTER_ANSWER, RESUME_NEVER, with_linger};
use quillmount_fleet::settlement::{Mode, OwnerInput};

/// The time of the last drawn incident.
const LAST_INCIDENT: Micros = 25_000_000;
/// The time from the loss of a courier to the expiry of its lease.
const LEASE: Micros = 1_000_000;
/// The minimum time from a takeover to the restart of the courier.
const RESTART_DELAY: Micros = 1_000_000;
/// The destination whose partner changes its mode.
const CHANGING_DESTINATION: u64 = 4;

#[derive(Clone, Copy)]
pub struct ScheduledIncident {
    pub starts_at: Micros,
    pub incident: Incident,
}

/// An incident at a courier, given by its index, and by its epoch if the incident concerns only that registration.
#[derive(Clone, Copy)]
pub enum Incident {
    Lose(usize, ProcessState),
    TakeOver(usize, u64),
    Resume(usize, u64),
    Restart(usize, u64),
    Drain(usize),
    CancelDrain(usize),
    /// A partner changes its mode, and one courier receives the new setting.
    ChangeMode(usize),
    /// The connection budget changes at all couriers.
    ChangeBudget,
}

/// Draws the incidents of one fleet. Those that result from a loss are scheduled at the loss.
pub fn schedule_incidents(random: &mut SplitMix64, couriers: usize) -> Vec<ScheduledIncident> {
    let mut incidents = Vec::new();
    for _ in 0..random.below(20) {
        let (starts_at, courier) = (random.below(LAST_INCIDENT), random.below(couriers as u64) as usize);
        let incident = match random.below(10) {
            0..=2 => Incident::Lose(courier, ProcessState::Dead),
            3 | 4 => Incident::Lose(courier, ProcessState::Paused),
            5..=7 => Incident::Drain(courier),
            8 => Incident::ChangeMode(courier),
            _ => Incident::ChangeBudget,
        };
        incidents.push(ScheduledIncident { starts_at, incident });
    }
    incidents
}

impl Simulation<'_> {
    /// Carries out an incident, unless it does not apply to the current state of the courier.
    pub fn carry_out_incident(&mut self, incident: Incident) {
        let couriers = &self.world.couriers;
        match incident {
            Incident::Lose(index, process) => self.lose(index, process),
            Incident::TakeOver(index, epoch)
                if couriers[index].epoch == epoch && !couriers[index].is_up() =>
            {
                self.world.take_over(index);
            }
            Incident::Resume(index, epoch) if couriers[index].epoch == epoch => {
                self.world.couriers[index].process = ProcessState::Up;
            }
            Incident::Restart(index, epoch)
                if couriers[index].epoch == epoch && couriers[index].is_taken_over =>
            {
                self.world.restart(index);
            }
            Incident::Drain(index) if couriers[index].is_up() && !couriers[index].is_taken_over => {
                self.drain(index);
            }
            Incident::CancelDrain(index) if couriers[index].is_up() => {
                self.world.step_owned(index, OwnerInput::CancelDrain);
            }
            Incident::ChangeMode(index) => self.change_mode(index),
            Incident::ChangeBudget => self.change_budget(),
            _ => {}
        }
    }

    fn schedule(&mut self, starts_at: Micros, incident: Incident) {
        self.incidents.push(ScheduledIncident { starts_at, incident });
    }

    /// Loses a courier, unless it is the last one that serves: that one has to take over the settlements of the
    /// others.
    fn lose(&mut self, index: usize, process: ProcessState) {
        let couriers = &self.world.couriers;
        let serving = couriers.iter().filter(|courier| courier.is_up() && !courier.is_taken_over).count();
        if !couriers[index].is_up() || couriers[index].is_taken_over || serving < 2 {
            return;
        }
        self.totals.losses += 1;
        self.world.lose(index, process);
        let (now, epoch) = (self.world.now, self.world.couriers[index].epoch);
        let resumes_at = now + 100_000 + self.random.below(5_000_000);
        let expires_at = now + LEASE;
        self.schedule(expires_at, Incident::TakeOver(index, epoch));
        if process == ProcessState::Paused {
            self.schedule(resumes_at, Incident::Resume(index, epoch));
        }
        self.schedule(resumes_at.max(expires_at) + RESTART_DELAY, Incident::Restart(index, epoch));
    }

    fn drain(&mut self, index: usize) {
        self.totals.drains += 1;
        let graceful_until = self.world.now + 100_000 + self.random.below(2_000_000);
        self.world.drain(index, graceful_until);
        if self.random.chance_per_mille(500) {
            let starts_at = graceful_until + self.random.below(2_000_000);
            self.schedule(starts_at, Incident::CancelDrain(index));
        }
    }

    /// Changes the mode of one partner. Open settlements keep their mode.
    fn change_mode(&mut self, index: usize) {
        let mode = [Mode::Message, RESUME_NEVER, RESUME_AFTER_ANSWER][self.random.below(3) as usize];
        self.world.modes.insert(CHANGING_DESTINATION, mode);
        self.world.couriers[index].owned.set_mode(CHANGING_DESTINATION, with_linger(mode));
    }

    fn change_budget(&mut self) {
        let budget = 2 + self.random.below(8) as u32;
        self.world.connection_budget = budget;
        for index in 0..self.world.couriers.len() {
            for (dest, _) in DESTINATIONS {
                let outputs = self.world.couriers[index].owned.set_budget("north", dest, budget);
                outputs.into_iter().for_each(|output| self.world.carry_out(index, output));
            }
        }
    }
}
