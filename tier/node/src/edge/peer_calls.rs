//! The calls of other processes that a courier answers.

use crate::clock;
use crate::control_member::bootstrap::{self, NodeAnnouncements};
use crate::control_member::{self, ControlMember};
use crate::node::Node;
use crate::rpc::Handler;
use quillmount_wire::messages::{Request, Response};
use std::rc::Rc;

/// The handler for a courier; `core` is its member of the core, if it has one.
pub(super) fn handler(
    node: &Rc<Node>,
    core: Option<&Rc<ControlMember>>,
    announcements: &Rc<NodeAnnouncements>,
) -> Handler {
    let (node, core, announcements) = (node.clone(), core.cloned(), announcements.clone());
    Rc::new(move |request| {
        let (node, core, announcements) = (node.clone(), core.clone(), announcements.clone());
        Box::pin(async move { answer(&node, core, &announcements, request).await })
    })
}

async fn answer(
    node: &Rc<Node>,
    core: Option<Rc<ControlMember>>,
    announcements: &NodeAnnouncements,
    request: Request,
) -> Option<Response> {
    match (request, core) {
        (Request::Announce { node: from, bootstrap }, core) => {
            Some(bootstrap::answer(node, core.as_deref(), announcements, &from, bootstrap))
        }
        (Request::PrimaryHint { address }, _) => {
            node.core_contact.borrow_mut().note_primary(address, clock::now());
            None
        }
        (Request::Register { from, address, to, message }, Some(core)) => {
            core.receive(from, address, to, message);
            None
        }
        (Request::Poll(poll), Some(core)) => Some(control_member::polls::answer(&core, poll).await),
        (Request::Poll(poll), None) => Some(control_member::polls::relay(node, poll).await),
        _ => Some(Response::WrongEpoch),
    }
}
