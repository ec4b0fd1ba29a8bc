//! The interfaces of a courier for its operator and for the platform.

use crate::control_member::{self, ControlMember};
use crate::http::{self, HttpResponse, HttpService};
use crate::node::Node;
use crate::role::{RoleError, listen};
use std::rc::Rc;

/// Serves the operator's interface, if the settings have an address for it.
pub(super) fn serve_operator(node: &Rc<Node>, core: Option<&Rc<ControlMember>>) -> Result<(), RoleError> {
    let Some(address) = &node.settings.sockets.admin else { return Ok(()) };
    let (node, core) = (node.clone(), core.cloned());
    let service: HttpService = Rc::new(move |request| {
        Box::pin(control_member::operator::answer(node.clone(), core.clone(), request))
    });
    // Detached: serves until the process ends.
    tokio::task::spawn_local(http::serve(listen(address)?, service));
    Ok(())
}

/// Serves the readiness check of the platform, if the settings have an address for it.
pub(super) fn serve_readiness(node: &Rc<Node>) -> Result<(), RoleError> {
    let Some(address) = &node.settings.sockets.readyz else { return Ok(()) };
    let node = node.clone();
    let service: HttpService = Rc::new(move |_| {
        let response = readiness(&node);
        Box::pin(async move { Some(response) })
    });
    // Detached: serves until the process ends.
    tokio::task::spawn_local(http::serve(listen(address)?, service));
    Ok(())
}

/// A courier is ready once it has a configuration and until it stops.
fn readiness(node: &Node) -> HttpResponse {
    if node.is_ready() { HttpResponse::text(200, "ready") } else { HttpResponse::text(503, "not ready") }
}
