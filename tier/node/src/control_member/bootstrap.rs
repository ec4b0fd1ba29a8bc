//! The first start of a new system: the members whose disks are empty learn about each other, and one of them writes the first
//! value of the control state.
//!
//! Each member announces itself to all seeds until every seed has answered and [`GATHER_TIME`] has passed. The member with the
//! lowest address then writes the first value. A member that learns that a value exists stops announcing; the primary admits
//! it when it polls.
//!
//! The others remember the announcement of a member that is killed, and leave the first value to it if its address is the lowest. So it
//! takes part again when it comes back with its disk, for as long as it has no value and has not learned of one.

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
    /// A seed has a value of the control state, so this member must not write a first value.
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

/// Announces this machine to all seeds until the control state has a first value, which the member with the lowest address writes. Ends
/// once the first value is known to be committed: until then it may still be lost with the members that have it in memory.
pub async fn run(core: Rc<ControlMember>, announcements: Rc<NodeAnnouncements>) {
    let started_at = clock::now();
    announcements.record(&core.node.info);
    while !has_committed_value(&core) {
        if core.is_blank() {
            let round = announce(&core, &announcements).await;
            let gather_time_passed = clock::now().saturating_sub(started_at) > GATHER_TIME;
            if round == AnnounceRound::Complete && gather_time_passed {
                write_first_value_if_lowest(&core, &announcements);
            }
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Returns whether this member or another one has served as primary, which it does only with a committed value.
fn has_committed_value(core: &ControlMember) -> bool {
    core.serving().is_some() || core.node.core_contact.borrow().has_ever_answered()
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

/// Proposes a control state that contains only the announced members, if this one has the lowest address of them.
fn write_first_value_if_lowest(core: &ControlMember, announcements: &NodeAnnouncements) {
    let members = announcements.all();
    let is_lowest = members.first().is_some_and(|node| node.disk == core.node.info.disk);
    if !is_lowest || !core.is_blank() {
        return;
    }
    let mut state = ControlState::default();
    state.placement.core = members;
    state.placement_version = 1;
    core.bootstrap(&state);
}
