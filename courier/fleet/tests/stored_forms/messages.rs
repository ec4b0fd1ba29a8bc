//! Encoding of the messages between couriers.

use crate::values::{FIXTURES, commands, ends, errors, id, journal_id, report, sequenced};
use bytes::Bytes;
use quillmount_fleet::message::{Envelope, FleetMessage, ReplicaPosition};
use quillmount_fleet::settlement::{self, Repeat, SettlementReply, SettlementRequest};
use quillmount_fleet::shares::BudgetKind;

/// One of each kind of message between couriers.
fn messages() -> Vec<FleetMessage> {
    let position_at = |len| ReplicaPosition { generation: 2, len };
    let bytes = Bytes::from_static(b"bytes");
    let settlement =
        |message| FleetMessage::Settlement { message: Box::new(message), payload: bytes.clone() };
    let mut all = vec![
        FleetMessage::Hello { fresh: true },
        FleetMessage::HelloReply { fresh: false },
        FleetMessage::Agreement(bytes.clone()),
    ];
    all.extend(commands().into_iter().map(FleetMessage::Propose));
    all.extend([
        FleetMessage::RenewLease { epoch: 300, ticket: 301 },
        FleetMessage::LeaseGranted { epoch: 300, ticket: 301 },
        FleetMessage::Append {
            journal: journal_id("a", 300),
            generation: 2,
            complete_len: 400,
            offset: 500,
            bytes: bytes.clone(),
        },
        FleetMessage::AppendAck {
            journal: journal_id("a", 300),
            position: position_at(500),
            staged: position_at(0),
        },
        FleetMessage::Fetch { journal: journal_id("a", 300), offset: 500 },
        FleetMessage::Page { journal: journal_id("a", 300), offset: 500, total: 600, bytes: bytes.clone() },
        FleetMessage::UnknownJournal { journal: journal_id("a", 300) },
        FleetMessage::BudgetReport(BudgetKind::Connections, report()),
        FleetMessage::BudgetReport(BudgetKind::Calls, report()),
    ]);
    let requests = [
        SettlementRequest::Submit(sequenced(1, Repeat::Never)),
        SettlementRequest::Submit(sequenced(200, Repeat::Within(6_000_000))),
        SettlementRequest::Submit(sequenced(201, Repeat::Freely)),
        SettlementRequest::Closing { total: 300 },
    ];
    all.extend(
        requests
            .clone()
            .map(|request| settlement(settlement::SettlementMessage::Request { id: id(), request })),
    );
    let replies =
        [SettlementReply::Accepted].into_iter().chain(ends().into_iter().map(SettlementReply::Ended));
    let replies = replies.chain(errors().into_iter().map(SettlementReply::Rejected));
    all.extend(replies.map(|reply| {
        settlement(settlement::SettlementMessage::Reply { id: id(), request: requests[3].clone(), reply })
    }));
    all
}

/// Each message is encoded in an envelope of its own, preceded by its length.
#[test]
fn messages_between_couriers_keep_their_encoding() {
    let envelope = |message: &FleetMessage| Envelope {
        from: "a".into(),
        to: "b".into(),
        node_id: 0xfeed_beef,
        messages: vec![message.clone()],
    };
    let written: Vec<Vec<u8>> = messages().iter().map(|message| envelope(message).encode()).collect();
    let stored = FIXTURES.check("envelopes.bin", &postcard::to_stdvec(&written).unwrap());
    let stored: Vec<Vec<u8>> = postcard::from_bytes(&stored).unwrap();
    assert_eq!(stored.len(), messages().len());
    for (bytes, message) in stored.iter().zip(messages()) {
        let read = Envelope::decode(bytes).unwrap();
        assert_eq!(read, envelope(&message));
        assert_eq!(read.encode(), *bytes);
    }
}
