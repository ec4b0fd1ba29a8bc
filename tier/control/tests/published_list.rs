//! The age of the endpoint list: how long a primary publishes a list, and when a process fetches it itself.

use quillmount_control::direct_list::{DirectFetchSchedule, lacks_current_list};
use quillmount_control::polls::{PublishedTables, comes_from_current_list, is_empty};
use quillmount_control::subscription::{AnsweredPoll, Subscription};
use quillmount_control::{ControlState, CoreContact, Directory, Leases, TableHistory, TimeLimits};
use quillmount_wire::Micros;
use quillmount_wire::messages::{ChangedTables, DirectoryVersion, Endpoint, TableVersions, Tables};
use quillmount_wire::settings::SloSettings;

const MILLI: Micros = 1_000;
const EPOCH: u64 = 2;
const PRIMARY: &str = "10.0.0.1:1";

fn limits() -> TimeLimits {
    TimeLimits::new(&SloSettings::default())
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.9:1".to_owned(),
        zone: "z".to_owned(),
        capacity: 8,
        draining: false,
        warmup_left_ms: 0.0,
        models: Vec::new(),
    }
}

/// The answer of a primary with this list to a subscriber that has version `known_changes` of it.
fn answer(directory: &Directory, known_changes: u64, now: Micros) -> ChangedTables {
    let published = PublishedTables {
        epoch: EPOCH,
        state: &ControlState::default(),
        history: &TableHistory::default(),
        directory,
        leases: &Leases::default(),
        max_list_age: limits().max_published_list_age,
        primary: PRIMARY,
    };
    let directory = DirectoryVersion { epoch: EPOCH, changes: known_changes };
    published.newer_than(TableVersions { directory, ..TableVersions::default() }, now)
}

#[test]
fn a_list_is_published_until_it_is_too_old() {
    let mut directory = Directory::default();
    assert!(
        !comes_from_current_list(&answer(&directory, 0, 100 * MILLI).tables),
        "there is no current list before the first fetch"
    );
    assert!(directory.replace(vec![endpoint("i-1")], 1_000 * MILLI));
    let current = answer(&directory, 0, 1_750 * MILLI);
    assert!(!is_empty(&current) && comes_from_current_list(&current.tables));
    let confirmed = answer(&directory, 1, 1_750 * MILLI);
    assert!(is_empty(&confirmed) && comes_from_current_list(&confirmed.tables));
    // A poll waits for the next fetch, whether or not its sender has this list.
    for known_changes in [0, 1] {
        let old = answer(&directory, known_changes, 1_751 * MILLI);
        assert!(is_empty(&old) && !comes_from_current_list(&old.tables));
    }
    assert!(!directory.replace(vec![endpoint("i-1")], 2_000 * MILLI));
    assert!(comes_from_current_list(&answer(&directory, 1, 2_100 * MILLI).tables));
}

#[test]
fn the_age_of_a_list_counts_from_the_start_of_its_fetch() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("i-1")], 1_000 * MILLI);
    // The process was suspended during the fetch.
    directory.replace(vec![endpoint("i-2")], 1_600 * MILLI);
    assert!(!comes_from_current_list(&answer(&directory, 1, 4_000 * MILLI).tables));
    assert!(is_empty(&answer(&directory, 1, 4_000 * MILLI)));
}

#[test]
fn the_last_list_is_published_while_the_platform_is_unavailable() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("i-1")], 1_000 * MILLI);
    directory.note_unavailable(5_000 * MILLI);
    assert!(!is_empty(&answer(&directory, 0, 5_500 * MILLI)));
    // A fetch that started before the platform became unavailable does not make the list newer.
    directory.replace(vec![endpoint("i-1")], 4_500 * MILLI);
    assert!(comes_from_current_list(&answer(&directory, 1, 5_700 * MILLI).tables));
    assert!(!comes_from_current_list(&answer(&directory, 1, 5_800 * MILLI).tables));
}

/// When a process first fetches the list itself, milliseconds, if it polls every 300 ms from 1,000 ms on and its
/// polls are answered at once with `tables`.
fn first_direct_fetch(tables: impl Fn(Micros) -> Tables) -> Option<Micros> {
    let limits = limits();
    let (mut contact, mut subscription) = (CoreContact::new(limits.recent_answer), Subscription::default());
    let mut schedule = DirectFetchSchedule::new(&limits, 900 * MILLI);
    (900..10_000).step_by(10).find(|time_ms| {
        let now = time_ms * MILLI;
        if *time_ms >= 1_000 && (time_ms - 1_000).is_multiple_of(300) {
            let poll = AnsweredPoll { address: PRIMARY, sent_at: now, answered_at: now };
            subscription.answered(&mut contact, &poll, &tables(now), 1);
        }
        schedule.is_due(&contact, &limits, now)
    })
}

#[test]
fn a_process_whose_primary_has_no_current_list_fetches_it_directly() {
    let mut directory = Directory::default();
    directory.replace(vec![endpoint("i-1")], 1_000 * MILLI);
    // The last answer with a current list is the one at 1,600 ms.
    assert_eq!(first_direct_fetch(|now| answer(&directory, 1, now).tables), Some(3_410));
    // Frequent elections: every answer is from a new primary that has not fetched the list yet.
    let elected = |now| Tables { epoch: now / (100 * MILLI), ..answer(&Directory::default(), 1, now).tables };
    assert_eq!(first_direct_fetch(elected), Some(2_810));
    let fetches_always_succeed = |now| {
        let mut directory = directory.clone();
        directory.replace(vec![endpoint("i-1")], now);
        answer(&directory, 1, now).tables
    };
    assert_eq!(first_direct_fetch(fetches_always_succeed), None);
    let platform_is_down = |now| {
        let mut directory = directory.clone();
        directory.note_unavailable(now);
        answer(&directory, 1, now).tables
    };
    assert_eq!(first_direct_fetch(platform_is_down), None);
}

#[test]
fn direct_fetches_continue_at_their_interval_until_the_core_has_a_current_list() {
    let limits = limits();
    let mut contact = CoreContact::new(limits.recent_answer);
    contact.record_answer(PRIMARY, &[], 1_000 * MILLI, 1_000 * MILLI);
    let mut schedule = DirectFetchSchedule::new(&limits, 0);
    let mut due = Vec::new();
    for time_ms in (1_000..6_000).step_by(10) {
        let now = time_ms * MILLI;
        contact.record_answer(PRIMARY, &[], now, now);
        if time_ms == 5_000 {
            contact.record_current_list(now);
            assert!(!lacks_current_list(&contact, &limits, now));
        }
        if schedule.is_due(&contact, &limits, now) {
            due.push(time_ms);
        }
    }
    assert_eq!(due, [2_810, 3_710, 4_610]);
}
