//! Discovery falls silent, on sockets: the courier asks anew in time, and has what it missed.

use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::{Eyes, Seen, What, platform};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Only a broken program waits for so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// What a silent watch misses counts as told so long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);
/// Within which the example's settings have a drain heeded, with the protocol's slack.
const HEED: Duration = Duration::from_millis(550);

/// When discovery was asked the next time.
async fn asked(seen: &mut mpsc::Receiver<Seen>) -> Instant {
    loop {
        let seen = timeout(PATIENCE, seen.recv()).await.expect("discovery is asked").unwrap();
        if seen.what == What::Watched {
            return seen.at;
        }
    }
}

fn version(n: u64) -> String {
    let entry = r#"{"id":"new","addr":"127.0.0.1:9","cell":7,"state":"draining"}"#;
    // Indented, as lists may be.
    format!("{{\n  \"version\": {n},\n  \"full\": false,\n  \"servers\": [\n    {entry}\n  ]\n}}")
}

/// Waits until the courier has taken on this version; the platform goes on meanwhile.
async fn listed(courier: &Courier, n: u64) {
    let words = format!("discovery: version {n} with");
    let until = Instant::now() + PATIENCE;
    while !courier.log.try_iter().any(|line| line.contains(&words)) {
        assert!(Instant::now() < until, "version {n} was not taken on");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn play() {
    let (eyes, mut seen) = Eyes::open();
    let (list, told) = watch::channel(version(2));
    let (down, is_down) = watch::channel(false);
    let platform = platform::open_with(eyes, told, is_down).await.unwrap();
    let courier = Courier::start(Setup::new(env!("CARGO_BIN_EXE_quillmount"), platform, Vec::new())).unwrap();
    asked(&mut seen).await;
    listed(&courier, 2).await;

    let silent = Instant::now();
    down.send(true).unwrap();
    let anew = asked(&mut seen).await;
    // It waits for the line that is due.
    assert!(anew - silent > Duration::from_millis(400) && anew - silent < TOLD - HEED, "{:?}", anew - silent);
    // What is not answered is asked again, and a change that the agent has after the outage is heeded.
    let again = asked(&mut seen).await;
    assert!(again - anew < HEED, "{:?}", again - anew);
    list.send(version(3)).unwrap();
    down.send(false).unwrap();
    let back = Instant::now();
    listed(&courier, 3).await;
    assert!(back.elapsed() < HEED, "{:?}", back.elapsed());
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_anew_until_discovery_is_back() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, play());
}
