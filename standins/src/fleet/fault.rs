//! What a harness does to couriers, links and doors, as values: each is noted in the record when it is done.

use super::link;
use crate::door;
use crate::record::{Stamp, Witness};
use std::fmt;

/// Something that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// SIGKILL.
    Kill(usize),
    /// A start with the folder as it is.
    Start(usize),
    /// SIGKILL where it runs, and a start with an empty folder.
    LoseFolder(usize),
    /// SIGSTOP.
    Pause(usize),
    /// SIGCONT.
    GoOn(usize),
    /// SIGTERM.
    Term(usize),
    /// SIGHUP.
    HangUp(usize),
    Link {
        from: usize,
        to: usize,
        way: link::Way,
    },
    Once {
        from: usize,
        to: usize,
        once: link::Once,
    },
    Close {
        from: usize,
        to: usize,
    },
    /// A partner's door for this courier.
    Partner {
        courier: usize,
        partner: usize,
        way: door::Way,
    },
    /// The platform's door for this courier.
    Platform {
        courier: usize,
        way: door::Way,
    },
}

impl Strike {
    /// One of all that do harm, by the seed of the generator, among so many couriers (two at least) and
    /// partners.
    pub fn pick(seed: &mut fastrand::Rng, couriers: usize, partners: usize) -> Strike {
        let courier = seed.usize(0..couriers);
        let to = (courier + seed.usize(1..couriers)) % couriers;
        match seed.u8(0..9) {
            0 | 1 => Strike::Kill(courier),
            2 => Strike::LoseFolder(courier),
            3 => Strike::Pause(courier),
            4 => Strike::Link { from: courier, to, way: link::Way::pick(seed) },
            5 => Strike::Once { from: courier, to, once: link::Once::pick(seed) },
            6 => Strike::Close { from: courier, to },
            7 if partners > 0 => {
                Strike::Partner { courier, partner: seed.usize(0..partners), way: door::Way::pick(seed) }
            }
            _ => Strike::Platform { courier, way: door::Way::pick(seed) },
        }
    }

    /// Where it harms this courier or mends it: that may miss an answer, or be taken for lost.
    pub(crate) fn harms(&self, courier: usize) -> Option<(Place, Harm)> {
        let lasts = |mends: bool| if mends { Harm::Ends } else { Harm::Begins };
        let (is, place, harm) = match *self {
            Strike::Kill(n) | Strike::Term(n) => (n == courier, Place::Process, Harm::Begins),
            Strike::Start(n) => (n == courier, Place::Process, Harm::Ends),
            Strike::LoseFolder(n) => (n == courier, Place::Process, Harm::Moment),
            Strike::Pause(n) => (n == courier, Place::Process, Harm::Begins),
            Strike::GoOn(n) => (n == courier, Place::Process, Harm::Ends),
            Strike::HangUp(_) => return None,
            Strike::Link { from, to, way } => {
                (from == courier || to == courier, Place::Link(from, to), lasts(way == link::Way::Pass))
            }
            Strike::Once { from, to, .. } | Strike::Close { from, to } => {
                (from == courier || to == courier, Place::Link(from, to), Harm::Moment)
            }
            Strike::Partner { courier: n, partner, way } => {
                (n == courier, Place::Partner(partner), lasts(way == door::Way::Open))
            }
            Strike::Platform { courier: n, way } => {
                (n == courier, Place::Platform, lasts(way == door::Way::Open))
            }
        };
        is.then_some((place, harm))
    }
}

/// Where a courier is harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    Process,
    Link(usize, usize),
    Partner(usize),
    Platform,
}

/// How long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    Begins,
    Ends,
    Moment,
}

/// A strike, and when it was done.
#[derive(Clone, Copy, Debug)]
pub struct Struck {
    pub when: Stamp,
    pub what: Strike,
}

impl Struck {
    pub(crate) fn note(witness: &Witness, what: Strike) {
        witness.write(|record, when| record.struck.push(Struck { when, what }));
    }
}

impl fmt::Display for Struck {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} (event {})", self.what, self.when.n)
    }
}
