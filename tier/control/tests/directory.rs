//! Every subscriber has the same endpoint list after its update, whatever version it had.

use quickcheck::QuickCheck;
use quillmount_control::{Directory, apply_update};
use quillmount_wire::messages::{DirectoryUpdate, DirectoryVersion, Endpoint};
use std::rc::Rc;

/// An endpoint whose id contains this number.
fn endpoint(id: u8, draining: bool, warmup_left_ms: f64) -> Endpoint {
    Endpoint {
        id: format!("i-{id:03}"),
        service: "s".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        capacity: 8,
        draining,
        warmup_left_ms,
        models: Vec::new(),
    }
}

/// A list of endpoints from pairs of number and draining flag; the last pair for a number is used.
fn list(entries: &[(u8, bool)]) -> Vec<Endpoint> {
    let entries: std::collections::BTreeMap<u8, bool> = entries.iter().copied().collect();
    entries.into_iter().map(|(id, draining)| endpoint(id, draining, 0.0)).collect()
}

#[test]
fn a_subscriber_at_any_version_ends_with_the_same_list() {
    fn subscriber_agrees(fetched_lists: Vec<Vec<(u8, bool)>>, updates_received: usize) -> bool {
        let mut directory = Directory::default();
        let (mut subscriber_list, mut known_version) = (Vec::new(), 0);
        let updates_received = updates_received % (fetched_lists.len() + 1);
        for (number, fetched) in fetched_lists.iter().enumerate() {
            directory.replace(list(fetched), 0);
            if number < updates_received {
                if let Some(update) = directory.update_since(known_version) {
                    subscriber_list = apply_update(&subscriber_list, update);
                }
                known_version = directory.version();
            }
        }
        if let Some(update) = directory.update_since(known_version) {
            subscriber_list = apply_update(&subscriber_list, update);
        }
        subscriber_list == **directory.list()
    }
    QuickCheck::new().tests(500).quickcheck(subscriber_agrees as fn(Vec<Vec<(u8, bool)>>, usize) -> bool);
}

#[test]
fn only_changes_are_sent_and_a_new_subscriber_gets_the_full_list() {
    let mut directory = Directory::default();
    assert!(directory.replace((0..100).map(|id| endpoint(id, false, 0.0)).collect(), 0));
    assert!(!directory.replace((0..100).map(|id| endpoint(id, false, 0.0)).collect(), 0));
    assert_eq!(directory.update_since(1), None);
    assert!(directory.replace((1..100).map(|id| endpoint(id, id == 7, 0.0)).collect(), 0));
    let expected =
        DirectoryUpdate::Delta { changed: vec![endpoint(7, true, 0.0)], removed: vec!["i-000".to_owned()] };
    assert_eq!(directory.update_since(1), Some(expected));
    assert!(matches!(directory.update_since(0), Some(DirectoryUpdate::Full(list)) if list.len() == 99));
}

#[test]
fn warming_up_is_no_change_but_its_end_is() {
    let mut directory = Directory::default();
    assert!(directory.replace(vec![endpoint(1, false, 900.0)], 0));
    assert!(!directory.replace(vec![endpoint(1, false, 300.0)], 0));
    assert!(directory.replace(vec![endpoint(1, false, 0.0)], 0));
}

/// Version `changes` of the list in epoch 3.
fn version(changes: u64) -> DirectoryVersion {
    DirectoryVersion { epoch: 3, changes }
}

#[test]
fn a_new_primary_sends_differences_to_subscribers_with_its_former_list() {
    let former = list(&[(1, false), (2, false), (3, false)]);
    let mut directory = Directory::succeeding(version(5), Rc::new(former.clone()));
    assert_eq!(
        directory.update_since_predecessor(version(5)),
        None,
        "there is no update before the first fetch"
    );
    let fetched = list(&[(1, false), (2, true), (4, false)]);
    directory.replace(fetched.clone(), 0);
    let update = directory.update_since_predecessor(version(5)).expect("an update");
    assert!(matches!(&update, DirectoryUpdate::Delta { changed, .. } if changed.len() == 2));
    assert_eq!(apply_update(&former, update), fetched);
    let second_fetched = list(&[(1, false), (2, false), (3, false)]);
    directory.replace(second_fetched.clone(), 0);
    let update = directory.update_since_predecessor(version(5)).expect("an update");
    assert_eq!(apply_update(&former, update), second_fetched);
    for other in [version(4), version(6), version(0), DirectoryVersion { epoch: 2, changes: 5 }] {
        assert!(matches!(directory.update_since_predecessor(other), Some(DirectoryUpdate::Full(_))));
    }
}

#[test]
fn a_list_fetched_directly_is_no_base_for_differences() {
    let mut directory = Directory::succeeding(version(0), Rc::new(list(&[(1, false)])));
    directory.replace(list(&[(1, false)]), 0);
    assert!(matches!(directory.update_since_predecessor(version(0)), Some(DirectoryUpdate::Full(_))));
}
