//! Faults at single steps: a lost, delayed or duplicated message, or a kill before or after a sync.

use super::World;
use super::events::Event;
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::{DiskId, RegisterMessage};

/// A fault at one step. Steps are messages between members or syncs, each counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Lose(usize),
    /// The message arrives later by this time.
    Delay(usize, Time),
    /// The message arrives twice, the second time later by this time.
    Repeat(usize, Time),
    /// The member is killed before the sync reaches the disk, and restarts after this time.
    KillBefore(usize, Time),
    /// The member is killed after the sync, before it performs the dependent actions, and restarts after this time.
    KillAfter(usize, Time),
}

impl World {
    /// Returns the downtime of the member if a fault kills it before this sync reaches the disk.
    pub(super) fn killed_before_sync(&self, sync: usize) -> Option<Time> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::KillBefore(step, downtime) if *step == sync => Some(*downtime),
            _ => None,
        })
    }

    /// Returns the downtime of the member if a fault kills it after this sync.
    pub(super) fn killed_after_sync(&self, sync: usize) -> Option<Time> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::KillAfter(step, downtime) if *step == sync => Some(*downtime),
            _ => None,
        })
    }

    /// Applies the fault at this message, if any; returns whether the fault prevents the delivery at this time.
    pub(super) fn message_fails(&mut self, from: DiskId, to: DiskId, message: &RegisterMessage) -> bool {
        self.messages += 1;
        let number = self.messages - 1;
        let fault = self.faults.iter().copied().find(|fault| match fault {
            Fault::Lose(step) | Fault::Delay(step, _) | Fault::Repeat(step, _) => *step == number,
            Fault::KillBefore(..) | Fault::KillAfter(..) => false,
        });
        let redeliver = |world: &mut World, delay: Time| {
            let event = Event::Deliver { from, to, message: message.clone() };
            world.schedule(world.now() + delay, event);
        };
        match fault {
            Some(Fault::Lose(_)) => true,
            Some(Fault::Delay(_, delay)) => {
                redeliver(self, delay);
                true
            }
            Some(Fault::Repeat(_, delay)) => {
                redeliver(self, delay);
                false
            }
            _ => false,
        }
    }
}
