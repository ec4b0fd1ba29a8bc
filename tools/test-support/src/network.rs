//! A simulated network: which links between nodes are blocked, and how long messages and syncs of disks take.

use crate::random::Random;
use crate::simulation::Time;
use std::collections::BTreeSet;

/// Directions in which nodes are isolated from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    /// Nothing reaches the isolated nodes.
    pub inbound: bool,
    /// Nothing that the isolated nodes send arrives.
    pub outbound: bool,
}

impl Isolation {
    /// Nothing reaches the isolated nodes.
    pub const INBOUND: Isolation = Isolation { inbound: true, outbound: false };
    /// Nothing that the isolated nodes send arrives.
    pub const OUTBOUND: Isolation = Isolation { inbound: false, outbound: true };
    /// Nothing passes either way.
    pub const BOTH: Isolation = Isolation { inbound: true, outbound: true };
}

/// The links that are blocked. A link leads one way, and a message on a blocked link is lost.
#[derive(Clone, Debug)]
pub struct Partitions<Node> {
    /// Sender and receiver of each.
    blocked_links: BTreeSet<(Node, Node)>,
}

impl<Node: Copy + Ord> Partitions<Node> {
    /// A network in which all messages arrive.
    #[must_use]
    pub const fn none() -> Partitions<Node> {
        Partitions { blocked_links: BTreeSet::new() }
    }

    /// Whether messages from one node to another are lost.
    #[must_use]
    pub fn is_blocked(&self, from: Node, to: Node) -> bool {
        self.blocked_links.contains(&(from, to))
    }

    /// Blocks the links between the isolated nodes and the others. Links among the isolated nodes stay, also if `others` has
    /// some of them.
    pub fn isolate(&mut self, isolated: &[Node], others: &[Node], directions: Isolation) {
        for one in isolated {
            for other in others.iter().filter(|other| !isolated.contains(other)) {
                if directions.inbound {
                    self.blocked_links.insert((*other, *one));
                }
                if directions.outbound {
                    self.blocked_links.insert((*one, *other));
                }
            }
        }
    }

    /// Opens all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }
}

/// A range of durations from which each delay is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayRange {
    /// The shortest delay.
    pub shortest: Time,
    /// Delays are shorter than the shortest one and this together.
    pub spread: Time,
}

/// How long a message between core members is on its way.
pub const MESSAGE_DELAY: DelayRange = DelayRange { shortest: 500, spread: 1_500 };
/// How long the sync of a core member's register takes.
pub const REGISTER_SYNC_DELAY: DelayRange = DelayRange { shortest: 300, spread: 2_000 };

impl DelayRange {
    /// Draws a delay.
    pub fn draw(&self, random: &mut Random) -> Time {
        self.shortest + random.below(self.spread)
    }
}
