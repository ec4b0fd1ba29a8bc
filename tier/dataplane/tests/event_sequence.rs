//! Tests of event sequences: events before an error in the same read, and ids at their limit.

use quillmount_dataplane::event_sequence::{EventIds, EventSequence, SequenceError};
use quillmount_dataplane::events::{EventReader, EventTooLong, MAX_EVENT_BYTES};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Ids of the events that one read completes, and the error after them.
fn read(sequence: &mut EventSequence, bytes: &str) -> (Vec<Option<u64>>, Option<SequenceError>) {
    let received = sequence.add(bytes.as_bytes());
    (received.events.iter().map(|event| event.id).collect(), received.fault)
}

#[test]
fn events_before_a_fault_in_the_same_read_count() {
    let mut sequence = EventSequence::resuming_after(Some(4), EventIds::Optional);
    let bytes = format!("{}{}{}", event(5), event(6), event(8));
    let expected = (vec![Some(5), Some(6)], Some(SequenceError::OutOfSequence));
    assert_eq!(read(&mut sequence, &bytes), expected);
    assert_eq!(sequence.last_id(), Some(6));
}

/// For each kind of error and each split of the bytes, the returned events are exactly those before the error, and the last id is
/// that of the last returned event.
#[test]
fn the_last_id_is_that_of_the_last_event_returned_for_every_split() {
    let faults = [event(9), event(2), "data: without a number\n\n".to_owned()];
    for fault in faults {
        let bytes = format!("{}{}{}{fault}{}", event(1), event(2), event(3), event(4));
        for cut in 0..=bytes.len() {
            let mut sequence = EventSequence::resuming_after(None, EventIds::Required);
            let (mut ids, mut last_fault) = read(&mut sequence, &bytes[..cut]);
            if last_fault.is_none() {
                let (more, fault) = read(&mut sequence, &bytes[cut..]);
                ids.extend(more);
                last_fault = fault;
            }
            assert_eq!(ids, [Some(1), Some(2), Some(3)], "cut at {cut}");
            assert_eq!(last_fault, Some(SequenceError::OutOfSequence), "cut at {cut}");
            assert_eq!(sequence.last_id(), Some(3), "cut at {cut}");
        }
    }
}

#[test]
fn events_without_a_number_pass_where_they_are_optional() {
    let mut sequence = EventSequence::resuming_after(None, EventIds::Optional);
    let bytes = format!("{}: a comment\n\n{}", event(1), event(2));
    assert_eq!(read(&mut sequence, &bytes), (vec![Some(1), None, Some(2)], None));
    assert!(sequence.is_between_events());
}

#[test]
fn no_event_follows_the_largest_number() {
    for id in [0, 1, u64::MAX] {
        let mut sequence = EventSequence::resuming_after(Some(u64::MAX), EventIds::Optional);
        let expected = (Vec::new(), Some(SequenceError::OutOfSequence));
        assert_eq!(read(&mut sequence, &event(id)), expected, "{id}");
    }
}

#[test]
fn an_event_over_the_limit_is_rejected_whether_or_not_its_end_came_with_it() {
    let longest = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES - "data: \n\n".len()));
    let too_long = format!("data: x{}", longest.strip_prefix("data: ").unwrap());
    let next_of = |text: &str| {
        let mut reader = EventReader::default();
        reader.add(text.as_bytes());
        reader.next_event().map(|event| event.is_some())
    };
    assert_eq!(next_of(&longest), Ok(true));
    assert_eq!(next_of(&too_long), Err(EventTooLong));
    assert_eq!(next_of(&too_long[..=MAX_EVENT_BYTES]), Err(EventTooLong));
}
