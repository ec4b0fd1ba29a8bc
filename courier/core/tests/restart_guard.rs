//! A restart with many messages for a destination in slow start must not end a restored message before its first attempt.

mod common;
use bytes::Bytes;
use common::{NOW, class, endpoint, options};
use quillmount_core::hub::Hub;
use quillmount_core::journal::{AcceptedMessage, JournalRecord, frame};
use quillmount_core::pool::Pool;
use quillmount_core::router::Router;
use quillmount_core::store::Memory;
use quillmount_core::{CallEnd, EndpointList};
use quillmount_policy::EndpointState;
use quillmount_settings::SenderSettings;

const TIME_LEFT: u64 = 16_000_000;

#[test]
fn a_restored_message_is_not_ended_early_before_its_first_attempt() {
    for call_end in [CallEnd::Full(0), CallEnd::CouldNotConnect, CallEnd::Reset] {
        let settings = SenderSettings {
            classes: vec![class("fee-debit", "fragile")],
            sender_count: Some(3_000),
            sender_index: Some(1),
            ..SenderSettings::default()
        };
        let accepted_message = |n: u64| AcceptedMessage {
            id: format!("m{n}"),
            class: "fee-debit".into(),
            key: None,
            dest: 1,
            deadline: NOW + TIME_LEFT,
            body: Bytes::new(),
        };
        let bytes = (0..10)
            .flat_map(|msg| frame(&JournalRecord::Accept { msg, message: accepted_message(msg) }).unwrap())
            .collect();
        let known =
            EndpointList { version: 1, full: true, endpoints: vec![endpoint("s", 1, EndpointState::Ready)] };
        let (router, actions) =
            Router::open(&options(&settings, 99_999), known, Memory::from_bytes(bytes), NOW).unwrap();
        let mut hub = Hub::new(router, Pool::new(15_000_000, 99));
        let begun = common::calls(hub.carry_out(actions, NOW));
        for call in begun {
            hub.call_ended(call.call, call_end, NOW + 1_000);
        }
        // Before seven tenths of their time have passed, no message without an attempt gets a notice.
        let mut now = NOW + 1_000;
        while let Some(wake_at) = hub.router.wake_at().filter(|wake_at| *wake_at < NOW + TIME_LEFT / 10 * 7) {
            now = now.max(wake_at);
            for call in common::calls(hub.tick(now)) {
                hub.call_ended(call.call, call_end, now);
            }
        }
        let untried = hub.router.notices(99).into_iter().filter(|notice| {
            let contents =
                quillmount_core::journal::JournalContents::read(hub.router.journal().store().bytes()).0;
            contents.owed.get(&notice.msg).is_some_and(|entry| entry.attempts.is_empty())
        });
        assert_eq!(untried.count(), 0, "{call_end:?}");
    }
}
