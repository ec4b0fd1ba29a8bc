//! The first start of the whole system.

use super::register::ControlMember;
use crate::clock;
use crate::node::Node;
use quillmount_control::ControlState;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Request, Response};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two rounds of announcements.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// A seed without an answer for so long is asked again.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// All start within less than this, microseconds.
const GATHER_TIME: u64 = 1_500_000;
/// Newcomers remembered at most.
const KNOWN_LIMIT: usize = 64;

/// Machines with an empty disk that have told of themselves at the first start.
#[derive(Default)]
pub struct NodeAnnouncements {
    known: RefCell<BTreeMap<String, NodeInfo>>,
}

impl NodeAnnouncements {
    /// Takes note of one that could be a member from the first.
    pub fn record(&self, node: &NodeInfo) {
        let mut known = self.known.borrow_mut();
        if known.len() < KNOWN_LIMIT || known.contains_key(&node.internal) {
            known.insert(node.internal.clone(), node.clone());
        }
    }

    /// All that are known, by address.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.known.borrow().values().cloned().collect()
    }
}

/// Answers an announcement; `core` is the member here, if this machine has one.
pub fn answer(
    node: &Node,
    core: Option<&ControlMember>,
    announcements: &NodeAnnouncements,
    from: &NodeInfo,
    bootstrap: bool,
) -> Response {
    if bootstrap && from.role == NodeRole::Core {
        announcements.record(from);
    }
    // Whoever knows of a value, or of a table, knows that the system has begun.
    let empty = core.is_none_or(ControlMember::is_blank) && node.last_answer.get() == 0;
    Response::Announced { node: node.info.clone(), empty, known: announcements.all() }
}

/// Announces this machine to all seeds until a first value is there; the first by address writes it.
pub async fn run(core: Rc<ControlMember>, announcements: Rc<NodeAnnouncements>) {
    let began = clock::micros();
    announcements.record(&core.node.info);
    while core.is_blank() {
        let complete = match announce(&core, &announcements).await {
            AnnounceRound::Complete => true,
            AnnounceRound::Incomplete => false,
            // It is admitted by its polls.
            AnnounceRound::HasBegun => return,
        };
        let gathered = clock::micros().saturating_sub(began) > GATHER_TIME;
        let all = announcements.all();
        let first = all.first().is_some_and(|node| node.disk == core.node.info.disk);
        if complete && gathered && first && core.is_blank() {
            write_first_value(&core, all);
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// What a round of announcements came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnounceRound {
    /// Every seed has answered.
    Complete,
    Incomplete,
    /// The system has a value already: one that is late must not write another.
    HasBegun,
}

/// One round.
async fn announce(core: &ControlMember, announcements: &NodeAnnouncements) -> AnnounceRound {
    let request = Request::Announce { node: core.node.info.clone(), bootstrap: true };
    let mut round = AnnounceRound::Complete;
    for peer in &core.node.settings.seeds {
        let address = core.node.settings.internal_address_of(peer);
        if address == core.node.info.internal {
            continue;
        }
        match core.node.links.call(&address, &request, CALL_TIMEOUT).await {
            Ok(Response::Announced { empty: false, .. }) => return AnnounceRound::HasBegun,
            Ok(Response::Announced { known, .. }) => known.iter().for_each(|node| announcements.record(node)),
            _ => round = AnnounceRound::Incomplete,
        }
    }
    round
}

fn write_first_value(core: &ControlMember, members: Vec<NodeInfo>) {
    let addresses: Vec<(DiskId, String)> =
        members.iter().map(|node| (node.disk, node.internal.clone())).collect();
    let mut state = ControlState::default();
    state.placement.core = members;
    state.placement_version = 1;
    core.bootstrap(&state, &addresses);
}
