//! The socket itself: what has come on it is seen at once, and a write that is too late sends no more.

use crate::socket;
use crate::test_bed::{WAIT_TIMEOUT, provider, run_test};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What has come on a connection is seen though nothing was polled since.
#[test]
fn an_end_or_a_byte_that_has_just_come_is_seen() {
    run_test(async || {
        let (listener, addr) = provider().await;
        for what in ["nothing", "a byte", "half a line", "an end", "a reset"] {
            let ours = TcpStream::connect(addr).await.unwrap();
            let (theirs, _) = listener.accept().await.unwrap();
            assert!(socket::is_quiet(&ours), "{what}: nothing has come yet");
            let mut theirs = theirs.into_std().unwrap();
            // No await from here on: the runtime has no chance to hear of it.
            match what {
                "a byte" => std::io::Write::write_all(&mut theirs, b"H").unwrap(),
                "half a line" => std::io::Write::write_all(&mut theirs, b"HTTP/1.1 200").unwrap(),
                "an end" => theirs.shutdown(std::net::Shutdown::Write).unwrap(),
                "a reset" => {
                    socket2::SockRef::from(&theirs).set_linger(Some(Duration::ZERO)).unwrap();
                    drop(theirs);
                    assert!(has_arrived(&ours), "{what}: the system has it");
                    assert!(!socket::is_quiet(&ours), "{what}");
                    continue;
                }
                _ => {}
            }
            assert_eq!(has_arrived(&ours), what != "nothing", "{what}: whether the system has it");
            assert_eq!(socket::is_quiet(&ours), what == "nothing", "{what}");
        }
    });
}

/// Whether the system has something to read, or an end, for the socket. On a busy machine that takes a moment even on loopback;
/// the runtime is not asked.
fn has_arrived(stream: &TcpStream) -> bool {
    let mut waiting = [rustix::event::PollFd::new(stream, rustix::event::PollFlags::IN)];
    let limit = rustix::event::Timespec { tv_sec: 0, tv_nsec: 300_000_000 };
    rustix::event::poll(&mut waiting, Some(&limit)).unwrap() > 0
}

/// A provider that reads slowly: what had no room until it was too late does not leave when there is some.
#[test]
fn a_write_that_waits_for_room_until_it_is_too_late_sends_no_more() {
    run_test(async || {
        let (listener, addr) = provider().await;
        let mut ours = TcpStream::connect(addr).await.unwrap();
        let (mut theirs, _) = listener.accept().await.unwrap();
        let block = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        // Until the system takes no more.
        while let Ok(wrote) =
            timeout(Duration::from_millis(300), socket::write(&mut ours, &block, || false)).await
        {
            sent += wrote.unwrap().unwrap();
        }
        let late = std::cell::Cell::new(false);
        let waits = socket::write(&mut ours, &block, || late.get());
        tokio::pin!(waits);
        // Asked once: there is no room yet.
        tokio::select! {
            biased;
            wrote = &mut waits => panic!("{wrote:?}"),
            () = std::future::ready(()) => {}
        }
        late.set(true);
        let read = async {
            let (mut room, mut got) = (vec![0; 1024 * 1024], 0);
            while got < sent {
                got += theirs.read(&mut room).await.unwrap();
            }
            got
        };
        let (wrote, got) =
            timeout(WAIT_TIMEOUT, async { tokio::join!(waits, read) }).await.expect("there is room");
        assert!(wrote.is_none(), "{wrote:?}");
        assert_eq!(got, sent);
    });
}
