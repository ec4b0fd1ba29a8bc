//! Faults that a harness injects into couriers, links and listeners, as values: each is recorded when it is injected.

mod link_event;
mod link_mode;
mod request_fault;

pub use link_event::{LinkEvent, LinkEventKind};
pub(crate) use link_mode::Direction;
pub use link_mode::LinkMode;
pub use request_fault::RequestFault;

use crate::listener::ListenerMode;
use crate::stamp::Stamp;
use std::fmt;

/// A fault that the harness injects, or the repair of one. Couriers and partners are given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL.
    Kill(usize),
    /// A start with the folder as it is.
    Start(usize),
    /// SIGKILL if it runs, and a start with an empty folder.
    LoseFolder(usize),
    /// SIGSTOP.
    Suspend(usize),
    /// SIGCONT.
    Resume(usize),
    /// SIGTERM.
    Sigterm(usize),
    /// SIGHUP.
    Sighup(usize),
    /// The mode of a link changes.
    Link {
        /// The courier that calls.
        from: usize,
        /// The courier that is called.
        to: usize,
        /// What the link does from now on.
        mode: LinkMode,
    },
    /// A fault of the next request on a link.
    Request {
        /// The courier that calls.
        from: usize,
        /// The courier that is called.
        to: usize,
        /// What happens to the request.
        fault: RequestFault,
    },
    /// All connections of a link are closed.
    Close {
        /// The courier that calls.
        from: usize,
        /// The courier that is called.
        to: usize,
    },
    /// The mode of a partner's listener for one courier changes.
    Partner {
        /// The courier.
        courier: usize,
        /// The partner.
        partner: usize,
        /// What the listener does from now on.
        mode: ListenerMode,
    },
    /// The mode of the platform's listener for one courier changes.
    Platform {
        /// The courier.
        courier: usize,
        /// What the listener does from now on.
        mode: ListenerMode,
    },
}

impl Fault {
    /// A random fault, drawn from the generator, among this many couriers (two at least) and partners.
    pub fn random(seed: &mut fastrand::Rng, couriers: usize, partners: usize) -> Fault {
        let courier = seed.usize(0..couriers);
        let to = (courier + seed.usize(1..couriers)) % couriers;
        match seed.u8(0..9) {
            0 | 1 => Fault::Kill(courier),
            2 => Fault::LoseFolder(courier),
            3 => Fault::Suspend(courier),
            4 => Fault::Link { from: courier, to, mode: LinkMode::random(seed) },
            5 => Fault::Request { from: courier, to, fault: RequestFault::random(seed) },
            6 => Fault::Close { from: courier, to },
            7 if partners > 0 => {
                Fault::Partner { courier, partner: seed.usize(0..partners), mode: ListenerMode::random(seed) }
            }
            _ => Fault::Platform { courier, mode: ListenerMode::random(seed) },
        }
    }

    /// What the fault, or repair, does to this courier: between the two it may miss an answer, or be considered lost. `None`: it
    /// does not affect the courier.
    pub(crate) fn effect_on(&self, courier: usize) -> Option<FaultEffect> {
        let (affects, target, phase) = match *self {
            Fault::Kill(n) | Fault::Sigterm(n) | Fault::Suspend(n) => {
                (n == courier, FaultTarget::Process, FaultPhase::Begins)
            }
            Fault::Start(n) | Fault::Resume(n) => (n == courier, FaultTarget::Process, FaultPhase::Ends),
            Fault::LoseFolder(n) => (n == courier, FaultTarget::Process, FaultPhase::Moment),
            Fault::Sighup(_) => return None,
            Fault::Link { from, to, mode } => (
                from == courier || to == courier,
                FaultTarget::Link(from, to),
                FaultPhase::of_mode(mode == LinkMode::Pass),
            ),
            Fault::Request { from, to, .. } | Fault::Close { from, to } => {
                (from == courier || to == courier, FaultTarget::Link(from, to), FaultPhase::Moment)
            }
            Fault::Partner { courier: n, partner, mode } => {
                (n == courier, FaultTarget::Partner(partner), FaultPhase::of_mode(mode == ListenerMode::Open))
            }
            Fault::Platform { courier: n, mode } => {
                (n == courier, FaultTarget::Platform, FaultPhase::of_mode(mode == ListenerMode::Open))
            }
        };
        affects.then_some(FaultEffect { target, phase })
    }
}

/// The effect of a fault on one courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FaultEffect {
    pub target: FaultTarget,
    pub phase: FaultPhase,
}

/// What of a courier a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FaultTarget {
    Process,
    Link(usize, usize),
    Partner(usize),
    Platform,
}

/// Whether a fault begins, ends, or is over at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPhase {
    Begins,
    Ends,
    Moment,
}

impl FaultPhase {
    /// The phase of a change of mode, which is a repair or a fault that lasts.
    fn of_mode(is_repair: bool) -> FaultPhase {
        if is_repair { FaultPhase::Ends } else { FaultPhase::Begins }
    }
}

/// A fault, and when it was injected.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    /// When it was injected.
    pub when: Stamp,
    /// The fault.
    pub what: Fault,
}

impl fmt::Display for InjectedFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} (event {})", self.what, self.when.n)
    }
}
