//! `quillmount demo`: a courier of this very program between stand-ins on loopback, and what becomes of a few
//! messages of each kind.

use quillmount_standins::client::{self, MessageRequest};
use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::endpoint::{self, EndpointScript};
use quillmount_standins::http::Head;
use quillmount_standins::{Observation, ObservationKind, Observer, platform};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Why the demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A stand-in or the courier can't be started, or does not answer.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The courier can't be started, signalled or waited for.
    #[error(transparent)]
    Courier(#[from] quillmount_standins::courier::CourierError),
    /// Messages had another number of final answers than one.
    #[error("{}", .0.join("; "))]
    WrongEnds(Vec<String>),
    /// The courier ended with an error.
    #[error("the courier did not stop as it should")]
    NotStopped,
}

/// A message that nothing comes of ends at its time; a demonstration should not last the usual 16 s.
const TIME_LEFT: Duration = Duration::from_secs(4);
/// An end comes within a message's time and some; without one the demonstration has failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const CLASSES: [&str; 2] = ["fee-debit", "paid-notice"];

/// The kinds of message: their name, their destination, and what its partner does.
const KINDS: [(&str, u64, &str); 4] = [
    ("delivered", 1, "the partner answers 200"),
    ("full", 2, "the partner turns the first call away, and tells to wait half a second"),
    ("hung", 3, "the partner takes the call and never answers"),
    ("failed", 4, "the partner answers 500"),
];

/// What the partner of a destination does; `first`: the message has not called there before.
fn script(dest: u64, first: bool) -> EndpointScript {
    let delay = Duration::from_millis(150);
    match dest {
        2 if first => EndpointScript::answers("429 Too Many Requests\r\nRetry-After: 0.5"),
        3 => EndpointScript::silent(),
        4 => EndpointScript { delay, ..EndpointScript::answers("500 Internal Server Error") },
        _ => EndpointScript { delay, ..EndpointScript::default() },
    }
}

/// Runs it all, and prints a timeline of each message.
///
/// # Errors
/// A message had another number of final answers than one, or the courier did not start or stop as it should.
pub async fn demo() -> Result<(), DemoError> {
    let (observer, mut seen) = Observer::channel();
    let (_list, list) = watch::channel(String::new());
    let platform = platform::open(observer.clone(), list).await?;
    let mut partners = Vec::new();
    for (_, dest, _) in KINDS {
        let known = RefCell::new(BTreeSet::new());
        let script = move |head: &Head| {
            let id = head.header("x-correlation-id").unwrap_or_default().to_string();
            script(dest, known.borrow_mut().insert(id))
        };
        partners.push((dest, endpoint::open(observer.clone(), script).await?));
    }
    let mut courier = Courier::start(Setup::new(std::env::current_exe()?, platform, partners))?;
    let addr = courier.addr;
    println!("a courier at {addr}, a partner for each destination, and the platform at {platform}\n");

    let (begun, mut ids) = (Instant::now(), Vec::new());
    let mut story: BTreeMap<String, Vec<(Instant, String)>> = BTreeMap::new();
    for (kind, dest, _) in KINDS {
        for class in CLASSES {
            let id = format!("{kind}-{class}");
            let message =
                MessageRequest { key: Some(id.clone()), ..MessageRequest::new(class, &id, dest, TIME_LEFT) };
            let answer = client::submit(addr, &message, kind.as_bytes()).await?;
            story
                .entry(id.clone())
                .or_default()
                .push((Instant::now(), format!("handed in: {}", answer.first_line)));
            ids.push(id);
        }
    }
    let ends = listen(&mut seen, &mut story, &ids, begun + TIME_LEFT + WAIT_TIMEOUT).await;
    courier.send_sigterm()?;
    let clean = courier.wait_for_exit().await?.success();

    print_timelines(begun, story);
    let wrong = wrong_ends(&ids, &ends);
    match (wrong.is_empty(), clean) {
        (true, true) => {
            println!("\n{} messages, one final answer each; the courier has stopped", ids.len());
            Ok(())
        }
        (true, false) => Err(DemoError::NotStopped),
        (false, _) => Err(DemoError::WrongEnds(wrong)),
    }
}

/// Prints what became of each message, with the seconds since `begun`.
fn print_timelines(begun: Instant, mut story: BTreeMap<String, Vec<(Instant, String)>>) {
    for (kind, _, about) in KINDS {
        for class in CLASSES {
            println!("{class}, {about}");
            let mut lines = story.remove(&format!("{kind}-{class}")).unwrap_or_default();
            // Stand-ins are independent: their observations may arrive out of order.
            lines.sort_by_key(|(at, _)| *at);
            for (at, line) in lines {
                println!("  {:7.3} s  {line}", at.saturating_duration_since(begun).as_secs_f64());
            }
        }
    }
}

/// The messages that have not exactly one end.
fn wrong_ends(ids: &[String], ends: &BTreeMap<String, usize>) -> Vec<String> {
    ids.iter()
        .map(|id| (id, ends.get(id).copied().unwrap_or(0)))
        .filter(|(_, ends)| *ends != 1)
        .map(|(id, ends)| format!("{id} has {ends} final answers"))
        .collect()
}

/// Collects the stand-ins' observations until every message has its end, and a moment longer; returns the number of ends
/// of each.
async fn listen(
    seen: &mut mpsc::Receiver<Observation>,
    story: &mut BTreeMap<String, Vec<(Instant, String)>>,
    ids: &[String],
    by: Instant,
) -> BTreeMap<String, usize> {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut until = by;
    while let Ok(Some(Observation { at, id, what })) =
        tokio::time::timeout_at(until.into(), seen.recv()).await
    {
        let line = match what {
            ObservationKind::CallBegan => "the courier calls the partner".to_string(),
            ObservationKind::Answered(answer) => {
                let delivered = answer.starts_with("200");
                *ends.entry(id.clone()).or_default() += usize::from(delivered);
                format!("the partner answers {answer}{}", if delivered { ": delivered" } else { "" })
            }
            ObservationKind::Abandoned => "the courier gives the call up".to_string(),
            ObservationKind::Notice(line) => {
                *ends.entry(id.clone()).or_default() += 1;
                format!("the courier tells the platform {line}")
            }
            ObservationKind::Body { .. } | ObservationKind::Watched => continue,
        };
        story.entry(id).or_default().push((at, line));
        if ids.iter().all(|id| ends.contains_key(id)) {
            // A second end would come soon after the first.
            until = until.min(Instant::now() + Duration::from_millis(500));
        }
    }
    ends
}
