//! Requests that are forwarded to another courier.

use quillmount_fleet::settlement::forward::{
    ForwardInput, ForwardOutput, MAX_PENDING_REQUESTS, REQUEST_RETRY, REQUEST_TIMEOUT, RequestForwarder,
};
use quillmount_fleet::settlement::{
    SettlementCommand, SettlementError, SettlementId, SettlementMessage, SettlementRegistry, SettlementReply,
    SettlementRequest,
};

#[test]
fn a_request_follows_the_owner_and_is_answered_in_time() {
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let (mut registry, mut forwarder) = (SettlementRegistry::default(), RequestForwarder::new("x", 1));
    let request = SettlementRequest::Closing { total: 3 };
    let requested = ForwardInput::Request { ticket: 1, id: id.clone(), request: request.clone() };
    let open = SettlementCommand::Open { id: id.clone(), owner: "x".into(), owner_epoch: 1 };
    assert_eq!(
        forwarder.step(&registry, requested.clone(), 0),
        [ForwardOutput::Propose(open)],
        "it has no home yet"
    );
    let other = SettlementCommand::Open { id: id.clone(), owner: "y".into(), owner_epoch: 4 };
    let opened = registry.apply(&other).remove(0);
    let send = ForwardOutput::Send {
        to: "y".into(),
        message: SettlementMessage::Request { id: id.clone(), request: request.clone() },
    };
    assert_eq!(
        forwarder.step(&registry, ForwardInput::Committed(opened), 10),
        std::slice::from_ref(&send),
        "another was first"
    );
    assert_eq!(forwarder.wake_at(), Some(10 + REQUEST_RETRY));
    assert_eq!(
        forwarder.step(&registry, ForwardInput::Tick, 10 + REQUEST_RETRY),
        [send],
        "its word was lost"
    );
    let reply =
        ForwardInput::Reply { id: id.clone(), request: request.clone(), reply: SettlementReply::Accepted };
    let answer = ForwardOutput::Answer { ticket: 1, reply: SettlementReply::Accepted };
    assert_eq!(forwarder.step(&registry, reply.clone(), 60_000), [answer]);
    assert_eq!(
        (forwarder.step(&registry, reply, 70_000), forwarder.is_empty()),
        (vec![], true),
        "it came twice"
    );
    forwarder.step(&registry, requested, 70_000);
    let late = forwarder.step(&registry, ForwardInput::Tick, 70_000 + REQUEST_TIMEOUT);
    assert!(matches!(
        &late[..],
        [ForwardOutput::Answer { reply: SettlementReply::Rejected(SettlementError::NoReply(_)), .. }]
    ));
}

#[test]
fn a_forwarder_limits_its_pending_requests() {
    let (registry, mut forwarder) = (SettlementRegistry::default(), RequestForwarder::new("x", 1));
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let mut request = |ticket| {
        let requested = ForwardInput::Request {
            ticket,
            id: id.clone(),
            request: SettlementRequest::Closing { total: 3 },
        };
        forwarder.step(&registry, requested, 0).remove(0)
    };
    (0..MAX_PENDING_REQUESTS as u64)
        .for_each(|ticket| assert!(matches!(request(ticket), ForwardOutput::Propose(_))));
    let refused = request(MAX_PENDING_REQUESTS as u64);
    assert!(matches!(
        refused,
        ForwardOutput::Answer { reply: SettlementReply::Rejected(SettlementError::Busy { .. }), .. }
    ));
}
