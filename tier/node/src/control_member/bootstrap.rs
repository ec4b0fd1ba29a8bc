//! The first start of a new system: the members whose disks are empty learn about each other, and one of them writes the first
//! value of the control state.
//!
//! Each member announces itself to all seeds until every seed has answered and [`GATHER_TIME`] has passed. The member with the
//! lowest address then writes the first value. A member that learns that a value exists stops announcing; the primary admits
//! it when it polls.

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

/// Interval between two rounds of announcements.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of an announcement; a seed that does not answer in this time counts as silent in the round.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which all machines of a new system are expected to start, microseconds.
const GATHER_TIME: Micros = 1_500_000;
/// Largest number of announced machines that are recorded.
const MAX_ANNOUNCED: usize = 64;

/// Members with an empty disk that have announced themselves, by internal address.
#[derive(Default)]
pub struct NodeAnnouncements {
    nodes: RefCell<BTreeMap<String, NodeInfo>>,
}

impl NodeAnnouncements {
    /// Records a machine that may be one of the first members. Ignores new machines beyond [`MAX_ANNOUNCED`].
    pub fn record(&self, node: &NodeInfo) {
        let mut nodes = self.nodes.borrow_mut();
        if nodes.len() < MAX_ANNOUNCED || nodes.contains_key(&node.internal) {
            nodes.insert(node.internal.clone(), node.clone());
        }
    }

    /// Returns all recorded machines, sorted by internal address.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.nodes.borrow().values().cloned().collect()
    }
}

/// Outcome of a round of announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnounceRound {
    /// Every seed has answered.
    Complete,
    /// At least one seed did not answer.
    Incomplete,
    /// The control state has a value already, so this member must not write a first value.
    AlreadyBootstrapped,
}

/// Answers an announcement of `from`. `core` is this machine's member, if it has one; `bootstrap` states whether the sender takes
/// part in the first start.
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
    // A value in the register, or an earlier answer of a primary, shows that the system exists already.
    let empty = core.is_none_or(ControlMember::is_blank) && !node.core_contact.borrow().has_ever_answered();
    Response::Announced { node: node.info.clone(), empty, known_nodes: announcements.all() }
}

/// Announces this machine to all seeds until the control state has a first value, which the member with the lowest address writes.
pub async fn run(core: Rc<ControlMember>, announcements: Rc<NodeAnnouncements>) {
    let started_at = clock::now();
    announcements.record(&core.node.info);
    while core.is_blank() {
        let all_answered = match announce(&core, &announcements).await {
            AnnounceRound::Complete => true,
            AnnounceRound::Incomplete => false,
            // The primary admits this machine when it polls.
            AnnounceRound::AlreadyBootstrapped => return,
        };
        let gather_time_passed = clock::now().saturating_sub(started_at) > GATHER_TIME;
        let all = announcements.all();
        let is_lowest = all.first().is_some_and(|node| node.disk == core.node.info.disk);
        if all_answered && gather_time_passed && is_lowest && core.is_blank() {
            write_first_value(&core, all);
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Announces this machine to each seed once, and records the machines that the seeds know.
async fn announce(core: &ControlMember, announcements: &NodeAnnouncements) -> AnnounceRound {
    let request = Request::Announce { node: core.node.info.clone(), bootstrap: true };
    let mut round = AnnounceRound::Complete;
    for seed in &core.node.settings.seeds {
        let address = core.node.settings.internal_address_of(seed);
        if address == core.node.info.internal {
            continue;
        }
        match core.node.links.call(&address, &request, CALL_TIMEOUT).await {
            Ok(Response::Announced { empty: false, .. }) => return AnnounceRound::AlreadyBootstrapped,
            Ok(Response::Announced { known_nodes, .. }) => {
                known_nodes.iter().for_each(|node| announcements.record(node));
            }
            _ => round = AnnounceRound::Incomplete,
        }
    }
    round
}

/// Proposes a control state that contains only these members.
fn write_first_value(core: &ControlMember, members: Vec<NodeInfo>) {
    let mut state = ControlState::default();
    state.placement.core = members;
    state.placement_version = 1;
    core.bootstrap(&state);
}
