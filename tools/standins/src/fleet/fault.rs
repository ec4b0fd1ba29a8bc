//! What a harness does to couriers, links and doors, as values: each is noted in the record when it is done.

use super::link;
use crate::listener;
use crate::record::{Recorder, Stamp};
use std::fmt;

/// Something that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL.
    Kill(usize),
    /// A start with the folder as it is.
    Start(usize),
    /// SIGKILL where it runs, and a start with an empty folder.
    LoseFolder(usize),
    /// SIGSTOP.
    Suspend(usize),
    /// SIGCONT.
    Resume(usize),
    /// SIGTERM.
    Sigterm(usize),
    /// SIGHUP.
    Sighup(usize),
    Link {
        from: usize,
        to: usize,
        mode: link::LinkMode,
    },
    /// What becomes of the next request on a link.
    Request {
        from: usize,
        to: usize,
        fault: link::RequestFault,
    },
    Close {
        from: usize,
        to: usize,
    },
    /// A partner's door for this courier.
    Partner {
        courier: usize,
        partner: usize,
        mode: listener::ListenerMode,
    },
    /// The platform's door for this courier.
    Platform {
        courier: usize,
        mode: listener::ListenerMode,
    },
}

impl Fault {
    /// One of all that do harm, by the seed of the generator, among so many couriers (two at least) and
    /// partners.
    pub fn random(seed: &mut fastrand::Rng, couriers: usize, partners: usize) -> Fault {
        let courier = seed.usize(0..couriers);
        let to = (courier + seed.usize(1..couriers)) % couriers;
        match seed.u8(0..9) {
            0 | 1 => Fault::Kill(courier),
            2 => Fault::LoseFolder(courier),
            3 => Fault::Suspend(courier),
            4 => Fault::Link { from: courier, to, mode: link::LinkMode::random(seed) },
            5 => Fault::Request { from: courier, to, fault: link::RequestFault::random(seed) },
            6 => Fault::Close { from: courier, to },
            7 if partners > 0 => Fault::Partner {
                courier,
                partner: seed.usize(0..partners),
                mode: listener::ListenerMode::random(seed),
            },
            _ => Fault::Platform { courier, mode: listener::ListenerMode::random(seed) },
        }
    }

    /// Where it harms this courier or mends it: that may miss an answer, or be taken for lost.
    pub(crate) fn effect_on(&self, courier: usize) -> Option<(FaultTarget, FaultPhase)> {
        let lasts = |is_repair: bool| if is_repair { FaultPhase::Ends } else { FaultPhase::Begins };
        let (is, target, phase) = match *self {
            Fault::Kill(n) | Fault::Sigterm(n) => (n == courier, FaultTarget::Process, FaultPhase::Begins),
            Fault::Start(n) => (n == courier, FaultTarget::Process, FaultPhase::Ends),
            Fault::LoseFolder(n) => (n == courier, FaultTarget::Process, FaultPhase::Moment),
            Fault::Suspend(n) => (n == courier, FaultTarget::Process, FaultPhase::Begins),
            Fault::Resume(n) => (n == courier, FaultTarget::Process, FaultPhase::Ends),
            Fault::Sighup(_) => return None,
            Fault::Link { from, to, mode } => (
                from == courier || to == courier,
                FaultTarget::Link(from, to),
                lasts(mode == link::LinkMode::Pass),
            ),
            Fault::Request { from, to, .. } | Fault::Close { from, to } => {
                (from == courier || to == courier, FaultTarget::Link(from, to), FaultPhase::Moment)
            }
            Fault::Partner { courier: n, partner, mode } => {
                (n == courier, FaultTarget::Partner(partner), lasts(mode == listener::ListenerMode::Open))
            }
            Fault::Platform { courier: n, mode } => {
                (n == courier, FaultTarget::Platform, lasts(mode == listener::ListenerMode::Open))
            }
        };
        is.then_some((target, phase))
    }
}

/// Where a courier is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FaultTarget {
    Process,
    Link(usize, usize),
    Partner(usize),
    Platform,
}

/// How long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPhase {
    Begins,
    Ends,
    Moment,
}

/// A strike, and when it was done.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    pub when: Stamp,
    pub what: Fault,
}

impl InjectedFault {
    pub(crate) fn note(recorder: &Recorder, what: Fault) {
        recorder.write(|record, when| record.injected_faults.push(InjectedFault { when, what }));
    }
}

impl fmt::Display for InjectedFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} (event {})", self.what, self.when.n)
    }
}
