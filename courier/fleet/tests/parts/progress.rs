//! What the records of journals add up to.

use quillmount_fleet::settlement::{
    Mode, Outcome, Repeat, SequencedMessage, SettlementId, SettlementProgress, SettlementRecord,
};

/// A courier that was the owner before and after another has the records of both terms in one journal.
#[test]
fn the_latest_owners_snapshot_replaces_earlier_records() {
    let id = SettlementId { tenant: "north".into(), name: "a".into(), dest: 7 };
    let sequenced = |position| SequencedMessage {
        position,
        total: None,
        message_id: format!("m{position}"),
        repeat: Repeat::Never,
        deadline: 9,
        size: 10,
        checksum: 0,
    };
    let handed = |position| SettlementRecord::Submitted { id: id.clone(), sequenced: sequenced(position) };
    let released = SettlementRecord::Released { id: id.clone(), position: 1, released_at: 5 };
    let opened = SettlementRecord::Opened { id: id.clone(), term: 1, mode: Mode::Message };
    let first = vec![opened, handed(1), handed(2), released];
    let copy = |journals: &[Vec<SettlementRecord>], term| {
        let progress = Box::new(SettlementProgress { term, ..SettlementProgress::read(&id, journals) });
        SettlementRecord::Snapshot { id: id.clone(), progress }
    };
    let second = vec![copy(std::slice::from_ref(&first), 2), handed(3)];
    let mut both = first.clone();
    both.extend([copy(&[first.clone(), second.clone()], 3), handed(4)]);
    // What the second owner wrote late was never acted on.
    let mut late = second.clone();
    late.push(handed(9));
    let progress = SettlementProgress::read(&id, &[both.clone(), late, both]);
    assert_eq!((progress.term, progress.pending_messages, progress.pending_bytes), (3, 4, 40));
    let mut taken = progress.clone();
    taken.begin_ownership();
    assert_eq!(taken.positions[&1].first_attempt, Some(5), "it was out, and may have run");
    // As the owner for the second time it was lost before it had read anything: its journal has the records of the first
    // term only.
    let mut second = second;
    second.push(SettlementRecord::Outcome { id: id.clone(), position: 1, outcome: Outcome::Delivered });
    let (once, again) = ([first.clone(), second.clone()], [first.clone(), second.clone(), first]);
    assert_eq!(SettlementProgress::read(&id, &again), SettlementProgress::read(&id, &once));
    for record in second {
        assert_eq!(SettlementRecord::decode(&record.encode().unwrap()), Ok(record));
    }
}
