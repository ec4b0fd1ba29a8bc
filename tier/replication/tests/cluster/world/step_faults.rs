//! Faults at single steps: a message that is lost, late or repeated, a kill before or after a sync.

use super::World;
use super::events::Event;
use quillmount_test_support::simulation::{Simulation, Time};
use quillmount_wire::messages::{DiskId, RegisterMessage};

/// A fault at one step: messages between members, and syncs, are counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is lost.
    Lose(usize),
    /// The message arrives later by this time.
    Delay(usize, Time),
    /// The message arrives twice, the second time later by this time.
    Repeat(usize, Time),
    /// The member is killed before the sync reaches the disk, and restarted after this time.
    KillBefore(usize, Time),
    /// The member is killed after the sync, before anything follows from it, and restarted after this time.
    KillAfter(usize, Time),
}

impl World {
    /// How long a member stays down that a fault kills before this sync reaches the disk.
    pub(super) fn killed_before_sync(&self, sync: usize) -> Option<Time> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::KillBefore(at, down) if *at == sync => Some(*down),
            _ => None,
        })
    }

    /// How long a member stays down that a fault kills after this sync.
    pub(super) fn killed_after_sync(&self, sync: usize) -> Option<Time> {
        self.faults.iter().find_map(|fault| match fault {
            Fault::KillAfter(at, down) if *at == sync => Some(*down),
            _ => None,
        })
    }

    /// Applies the fault of this message, if any; returns whether it keeps the message from being delivered now.
    pub(super) fn message_fails(&mut self, from: DiskId, to: DiskId, message: &RegisterMessage) -> bool {
        self.messages += 1;
        let number = self.messages - 1;
        let fault = self.faults.iter().copied().find(|fault| match fault {
            Fault::Lose(at) | Fault::Delay(at, _) | Fault::Repeat(at, _) => *at == number,
            Fault::KillBefore(..) | Fault::KillAfter(..) => false,
        });
        let redeliver = |world: &mut World, later: Time| {
            let event = Event::Deliver { from, to, message: message.clone() };
            world.schedule(world.now() + later, event);
        };
        match fault {
            Some(Fault::Lose(_)) => true,
            Some(Fault::Delay(_, later)) => {
                redeliver(self, later);
                true
            }
            Some(Fault::Repeat(_, later)) => {
                redeliver(self, later);
                false
            }
            _ => false,
        }
    }
}
