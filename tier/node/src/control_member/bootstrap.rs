//! The first start of a new system: members that find their disks empty agree on who they are, and one of them writes the
//! first value of the control state.
//!
//! Each announces itself to all seeds until every seed has answered and the gathering time is over. The member with the
//! lowest address then writes the first value. A member that learns of an existing value stops: the primary admits it when
//! it polls.

use super::member::ControlMember;
use crate::clock;
use crate::node::Node;
use quillmount_control::ControlState;
use quillmount_wire::Micros;
use quillmount_wire::messages::{NodeInfo, NodeRole, Request, Response};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Delay between two rounds of announcements.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// A seed without an answer for this long counts as silent in this round.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which all machines of a new system start, microseconds.
const GATHER_TIME: Micros = 1_500_000;
/// Most announcing machines that are remembered.
const KNOWN_LIMIT: usize = 64;

/// Members with an empty disk that have announced themselves, by internal address.
#[derive(Default)]
pub struct NodeAnnouncements {
    known: RefCell<BTreeMap<String, NodeInfo>>,
}

impl NodeAnnouncements {
    /// Records a machine that could be a member from the start.
    pub fn record(&self, node: &NodeInfo) {
        let mut known = self.known.borrow_mut();
        if known.len() < KNOWN_LIMIT || known.contains_key(&node.internal) {
            known.insert(node.internal.clone(), node.clone());
        }
    }

    /// All that are known, sorted by address.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.known.borrow().values().cloned().collect()
    }
}

/// The outcome of a round of announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnounceRound {
    /// Every seed has answered.
    Complete,
    /// At least one seed did not answer.
    Incomplete,
    /// The system has a value already: a latecomer must not write another.
    HasBegun,
}

/// Answers an announcement of `from`; `core` is this machine's member, if it has one. `bootstrap` says whether the sender is
/// to take part in the first start.
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
    // A value in the register, or an answer of a primary, shows that the system exists already.
    let empty = core.is_none_or(ControlMember::is_blank) && !node.core_contact.borrow().has_ever_answered();
    Response::Announced { node: node.info.clone(), empty, known_nodes: announcements.all() }
}

/// Announces this machine to all seeds until there is a first value, which the member with the lowest address writes.
pub async fn run(core: Rc<ControlMember>, announcements: Rc<NodeAnnouncements>) {
    let began = clock::now();
    announcements.record(&core.node.info);
    while core.is_blank() {
        let complete = match announce(&core, &announcements).await {
            AnnounceRound::Complete => true,
            AnnounceRound::Incomplete => false,
            // The primary admits this machine when it polls.
            AnnounceRound::HasBegun => return,
        };
        let gathered = clock::now().saturating_sub(began) > GATHER_TIME;
        let all = announcements.all();
        let first = all.first().is_some_and(|node| node.disk == core.node.info.disk);
        if complete && gathered && first && core.is_blank() {
            write_first_value(&core, all);
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Announces this machine to each seed once, and records the machines that they know.
async fn announce(core: &ControlMember, announcements: &NodeAnnouncements) -> AnnounceRound {
    let request = Request::Announce { node: core.node.info.clone(), bootstrap: true };
    let mut round = AnnounceRound::Complete;
    for seed in &core.node.settings.seeds {
        let address = core.node.settings.internal_address_of(seed);
        if address == core.node.info.internal {
            continue;
        }
        match core.node.links.call(&address, &request, CALL_TIMEOUT).await {
            Ok(Response::Announced { empty: false, .. }) => return AnnounceRound::HasBegun,
            Ok(Response::Announced { known_nodes, .. }) => {
                known_nodes.iter().for_each(|node| announcements.record(node))
            }
            _ => round = AnnounceRound::Incomplete,
        }
    }
    round
}

/// Proposes the control state that has these members, and nothing else.
fn write_first_value(core: &ControlMember, members: Vec<NodeInfo>) {
    let mut state = ControlState::default();
    state.placement.core = members;
    state.placement_version = 1;
    core.bootstrap(&state);
}
