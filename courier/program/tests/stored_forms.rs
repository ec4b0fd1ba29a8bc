//! What two processes of a courier send each other on an upgrade, as bytes on their socket: what an earlier version sent is
//! read, and the same values are sent as the same bytes. `WRITE_FIXTURES=1` writes the files anew.

#![allow(dead_code, unused_imports)]

#[path = "../src/fleet/mod.rs"]
mod fleet;
#[path = "../src/transport/mod.rs"]
mod transport;

use quillmount_core::call;
use quillmount_core::hub;
use quillmount_core::machine::client;
use quillmount_protocol::operator::OperatorCall;
use quillmount_test_support::fixtures::Fixtures;
use serde::Serialize;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use transport::channel::Channel;
use transport::frames::Frame;
use transport::handle::HandoverPart;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

/// A state and calls that are out: the core's tests check what is in them.
const STATE: &[u8] = include_bytes!("../../core/tests/fixtures/handover_state.bin");
const CALLS: &[u8] = include_bytes!("../../core/tests/fixtures/handover_calls.bin");

/// What both sides say first.
const HELLO: &[u8] = b"qmh\x00\x00\x03";

fn state() -> Box<hub::HubState> {
    Box::new(postcard::from_bytes(STATE).unwrap())
}

fn clients() -> [client::ClientState; 6] {
    [
        client::ClientState::Requesting { first: true, last: false },
        client::ClientState::Answering { probed: true, closes: false },
        client::ClientState::Idle { probed: true },
        client::ClientState::Leaving,
        client::ClientState::Closing,
        client::ClientState::Closed,
    ]
}

fn calls() -> Vec<(call::CallSnapshot, Option<u32>)> {
    postcard::from_bytes(CALLS).unwrap()
}

/// The parts that follow a state, each with a word whether a descriptor comes with it.
fn parts() -> Vec<(HandoverPart, bool)> {
    let mut all = vec![(HandoverPart::Listener, true), (HandoverPart::Listener, false)];
    for state in clients() {
        all.push((HandoverPart::Client { state, bytes: b"POST /fee-debit HTTP/1.1\r\n".to_vec() }, true));
    }
    let addrs = ["10.1.0.18:7070", "[2001:db8::1]:7070"];
    all.extend((300..).zip(addrs).map(|(endpoint, addr)| {
        (
            HandoverPart::IdleConnection {
                endpoint,
                addr: addr.parse().unwrap(),
                since: 1_700_000_000_000_000,
            },
            true,
        )
    }));
    all.extend(calls().into_iter().map(|(call, held)| (HandoverPart::Call(Box::new(call)), held.is_some())));
    all
}

fn frames() -> Vec<Frame> {
    let operators = [
        OperatorCall::Ready,
        OperatorCall::Disable("s-1".into()),
        OperatorCall::Enable("s-1".into()),
        OperatorCall::Drain,
        OperatorCall::Undrain,
    ];
    let mut all = vec![Frame::Request];
    all.extend(operators.map(Frame::Call));
    all.push(Frame::Said("SUCCESS ready\n".into()));
    all.push(Frame::Busy);
    all.push(Frame::State { state: state(), drained: true, parts: parts().len(), ahead: -300 });
    all.extend([Frame::Confirmed, Frame::Released]);
    all
}

fn play<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let played = async { tokio::time::timeout(Duration::from_secs(60), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, played).expect("the test has come to its end")
}

/// The bytes on the socket for all that one side sends, its greeting included.
async fn sent<T: Serialize>(all: &[T]) -> Vec<u8> {
    let (near, mut far) = UnixStream::pair().unwrap();
    far.write_all(HELLO).await.unwrap();
    let write = async {
        let mut channel = Channel::open(near).await.unwrap();
        for one in all {
            channel.send(one, None).await.unwrap();
        }
    };
    let mut bytes = Vec::new();
    let read = far.read_to_end(&mut bytes);
    let ((), read) = tokio::join!(write, read);
    read.unwrap();
    bytes
}

/// A channel whose other side has sent these bytes and ended.
async fn heard(bytes: Vec<u8>) -> Channel {
    let (near, mut far) = UnixStream::pair().unwrap();
    tokio::task::spawn_local(async move {
        far.write_all(&bytes).await.unwrap();
        far.shutdown().await.unwrap();
        // The greeting is to be taken.
        far.read_to_end(&mut Vec::new()).await.unwrap();
    });
    Channel::open(near).await.unwrap()
}

#[test]
fn frames_of_an_upgrade_are_read_and_sent_as_ever() {
    play(async {
        let stored = FIXTURES.check("handover_frames.bin", &sent(&frames()).await);
        assert!(stored.starts_with(HELLO));
        let mut channel = heard(stored.clone()).await;
        let mut read = Vec::new();
        for _ in frames() {
            read.push(channel.recv::<Frame>().await.unwrap());
        }
        assert!(channel.recv::<Frame>().await.is_err(), "nothing is left");
        assert_eq!(sent(&read).await, stored);
        let [
            Frame::Request,
            Frame::Call(OperatorCall::Ready),
            Frame::Call(disable),
            Frame::Call(enable),
            rest @ ..,
        ] = &read[..]
        else {
            panic!()
        };
        assert_eq!(
            (disable, enable),
            (&OperatorCall::Disable("s-1".into()), &OperatorCall::Enable("s-1".into()))
        );
        let [
            Frame::Call(OperatorCall::Drain),
            Frame::Call(OperatorCall::Undrain),
            Frame::Said(said),
            Frame::Busy,
            rest @ ..,
        ] = rest
        else {
            panic!()
        };
        assert_eq!(said, "SUCCESS ready\n");
        let [
            Frame::State { state, drained: true, parts: count, ahead: -300 },
            Frame::Confirmed,
            Frame::Released,
        ] = rest
        else {
            panic!()
        };
        assert_eq!(*count, parts().len());
        assert_eq!(postcard::to_allocvec(state).unwrap(), STATE);
    });
}

#[test]
fn parts_of_an_upgrade_are_read_and_sent_as_ever() {
    play(async {
        let stored = FIXTURES.check("handover_parts.bin", &sent(&parts()).await);
        let mut channel = heard(stored.clone()).await;
        let mut read = Vec::new();
        for _ in parts() {
            read.push(channel.recv::<(HandoverPart, bool)>().await.unwrap());
        }
        assert!(channel.recv::<(HandoverPart, bool)>().await.is_err(), "nothing is left");
        assert_eq!(sent(&read).await, stored);
        assert!(matches!(read[..2], [(HandoverPart::Listener, true), (HandoverPart::Listener, false)]));
        for (one, wanted) in read[2..].iter().zip(clients()) {
            let (HandoverPart::Client { state, bytes }, true) = one else { panic!() };
            assert_eq!((*state, &bytes[..]), (wanted, &b"POST /fee-debit HTTP/1.1\r\n"[..]));
        }
        let addrs = ["10.1.0.18:7070", "[2001:db8::1]:7070"].map(|addr| addr.parse().unwrap());
        for (one, wanted) in read[8..10].iter().zip((300u32..).zip(addrs)) {
            let (HandoverPart::IdleConnection { endpoint, addr, since: 1_700_000_000_000_000 }, true) = one
            else {
                panic!()
            };
            assert_eq!((*endpoint, *addr), wanted);
        }
        assert_eq!(read.len(), 10 + calls().len());
        for ((one, fd), (wanted, held)) in read[10..].iter().zip(calls()) {
            let HandoverPart::Call(call) = one else { panic!() };
            assert_eq!((postcard::to_allocvec(call), *fd), (postcard::to_allocvec(&wanted), held.is_some()));
        }
    });
}

/// Another version's greeting ends the talk: its process restores from the journal instead.
#[test]
fn another_version_is_not_read() {
    play(async {
        let (near, mut far) = UnixStream::pair().unwrap();
        far.write_all(b"qmh\x00\x00\x04").await.unwrap();
        assert!(Channel::open(near).await.is_err());
    });
}
