//! Tests of deltas between byte strings: applying one yields the new string, and a delta for another string is rejected.

use quickcheck::QuickCheck;
use quillmount_wire::messages::{Delta, DeltaError, DeltaStep};

#[test]
fn a_delta_between_any_two_strings_yields_the_new_string() {
    fn yields_new(old: Vec<u8>, new: Vec<u8>) -> bool {
        Delta::between(&old, &new).apply(&old) == Ok(new)
    }
    QuickCheck::new().tests(300).quickcheck(yields_new as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_delta_of_strings_with_repeated_parts_yields_the_new_string() {
    fn yields_edited(parts: Vec<u8>, removed: usize, inserted: Vec<u8>) -> bool {
        let text = |part: &u8| format!("{{\"Name\":\"route-{:03}\",\"Deadline\":{}}}", part % 7, part % 3);
        let old: String = parts.iter().map(text).collect();
        let mut new = old.clone().into_bytes();
        let start = removed % (new.len() + 1);
        let end = (start + removed % 40).min(new.len());
        new.splice(start..end, inserted);
        Delta::between(old.as_bytes(), &new).apply(old.as_bytes()) == Ok(new)
    }
    QuickCheck::new().tests(300).quickcheck(yields_edited as fn(Vec<u8>, usize, Vec<u8>) -> bool);
}

#[test]
fn a_small_edit_of_a_long_text_yields_a_small_delta() {
    let route =
        |number: u64, deadline: u64| format!("{{\"Name\":\"route-{number}\",\"DeadlineMs\":{deadline}}},");
    let text = |altered: u64| -> String {
        (0..1000).map(|number| route(number, if number == altered { 7000 } else { 4000 })).collect()
    };
    let (old, new) = (text(2000), text(500));
    let delta = Delta::between(old.as_bytes(), new.as_bytes());
    assert_eq!(delta.apply(old.as_bytes()), Ok(new.into_bytes()));
    assert!(delta.estimated_bytes() < 100, "{} bytes", delta.estimated_bytes());
}

#[test]
fn a_delta_for_another_string_is_rejected() {
    let delta = Delta::between(b"a text of some length, first", b"a text of some length, second");
    assert_eq!(delta.apply(b"b text of some length, first"), Err(DeltaError::WrongChecksum));
    assert_eq!(delta.apply(b"short"), Err(DeltaError::OutOfRange));
    let beyond = Delta { steps: vec![DeltaStep::Copy { start: u32::MAX, length: u32::MAX }], checksum: 0 };
    assert_eq!(beyond.apply(b"text"), Err(DeltaError::OutOfRange));
    let old = vec![0; 1 << 20];
    let copy = DeltaStep::Copy { start: 0, length: 1 << 20 };
    let large = Delta { steps: vec![copy; 33], checksum: 0 };
    assert_eq!(large.apply(&old), Err(DeltaError::TooLarge));
}
