//! One run of an item at one endpoint.

use super::{Run, list};
use crate::clock;
use crate::store::Store;
use crate::upstream::{BodyPart, UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{CallEnd, Placement};
use quillmount_dataplane::events::EventReader;
use quillmount_wire::messages::Phase;
use std::rc::Rc;
use std::time::Duration;

/// An endpoint that is silent for so long is left; the item goes on elsewhere.
const PATIENCE: Duration = Duration::from_millis(4000);
/// Pause of an item after a failure.
const PAUSE: Duration = Duration::from_millis(100);
/// Largest text of one item, bytes.
const TEXT_LIMIT: usize = 4 << 20;
/// Largest answer that is not a stream, bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// How a run at one endpoint ended.
enum Ended {
    Whole,
    /// The endpoint can never do it.
    Impossible,
    Failed,
    /// To be tried again, or gone on with, elsewhere.
    Again(CallEnd),
    Cancelled,
}

/// Runs an item at an endpoint, and lists its result or puts it back.
pub(super) async fn run(store: Rc<Store>, mut run: Run, placement: Placement) {
    let sent = clock::micros();
    let mut first = None;
    let resumed = run.last_event.is_some();
    let cancel = run.tracked.cancel.clone();
    let ended = tokio::select! {
        ended = exchange(&store, &mut run, &placement, sent, &mut first) => ended,
        () = cancel.cancelled() => Ended::Cancelled,
    };
    let end = match (&ended, first) {
        (Ended::Again(end), _) => *end,
        (Ended::Failed, _) => CallEnd::Error,
        (Ended::Whole | Ended::Cancelled, Some(_)) if resumed => CallEnd::Resumed,
        (Ended::Whole | Ended::Cancelled, Some(latency)) => CallEnd::FirstEvent(latency),
        _ => CallEnd::Abandoned,
    };
    store.node.dispatcher.borrow_mut().finish(&placement, end, first.is_some(), clock::micros());
    store.node.room.notify_waiters();
    match ended {
        Ended::Whole => {
            let text = run.text.join("\n");
            list(&store, run, Phase::Done, text);
        }
        Ended::Impossible => list(&store, run, Phase::DeadLetter, String::new()),
        Ended::Cancelled => {}
        Ended::Failed => {
            run.failures += 1;
            if run.failures >= run.tries(&store) {
                return list(&store, run, Phase::DeadLetter, String::new());
            }
            put_back(store, run, placement, true).await;
        }
        Ended::Again(_) => put_back(store, run, placement, first.is_none()).await,
    }
}

async fn put_back(store: Rc<Store>, mut run: Run, placement: Placement, fruitless: bool) {
    if fruitless {
        run.tried.push(placement.id);
        tokio::time::sleep(PAUSE).await;
    } else {
        run.tried.clear();
    }
    store.runner.put(run);
}

async fn exchange(
    store: &Rc<Store>,
    run: &mut Run,
    placement: &Placement,
    sent: u64,
    first: &mut Option<u64>,
) -> Ended {
    let bytes = run.request(placement);
    let id = run.item().id.clone();
    let request = UpstreamRequest {
        endpoint: &placement.id,
        address: &placement.address,
        request_id: &id,
        bytes: &bytes,
    };
    let mut answer = match store.node.upstreams.send(request, PATIENCE).await {
        Ok(answer) => answer,
        Err(UpstreamError::Silent) => {
            return Ended::Again(CallEnd::TimedOut(clock::micros().saturating_sub(sent)));
        }
        Err(_) => return Ended::Again(CallEnd::Lost),
    };
    let head = &answer.head;
    let stream = head.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if head.status == 200 && stream {
        let ended = read_events(store, run, placement, &mut answer, sent, first).await;
        if matches!(ended, Ended::Whole) {
            answer.release(&store.node.upstreams);
        }
        return ended;
    }
    let (status, not_run) = (head.status, head.headers.get("Not-Run").is_some());
    let whole = tokio::time::timeout(PATIENCE, answer.read_all(ANSWER_LIMIT)).await;
    if !matches!(whole, Ok(Some(_))) {
        return Ended::Again(CallEnd::Lost);
    }
    answer.release(&store.node.upstreams);
    match status {
        421 => Ended::Again(CallEnd::Replaced),
        _ if not_run => Ended::Again(CallEnd::Refused),
        422 => Ended::Impossible,
        500 => Ended::Failed,
        _ => Ended::Again(CallEnd::Error),
    }
}

async fn read_events(
    store: &Rc<Store>,
    run: &mut Run,
    placement: &Placement,
    answer: &mut UpstreamAnswer,
    sent: u64,
    first: &mut Option<u64>,
) -> Ended {
    let mut events = EventReader::default();
    loop {
        let mut bytes = Vec::new();
        let Ok(part) = tokio::time::timeout(PATIENCE, answer.read(&mut bytes)).await else {
            return Ended::Again(CallEnd::TimedOut(clock::micros().saturating_sub(sent)));
        };
        events.add(&bytes);
        loop {
            let event = match events.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return Ended::Again(CallEnd::Error),
            };
            if first.is_none() {
                *first = Some(clock::micros().saturating_sub(sent));
                store.node.dispatcher.borrow_mut().first_event(placement);
                store.node.room.notify_waiters();
            }
            // Without its number an event can't be placed, and one out of its turn belongs to another run.
            let expected = run.last_event.map(|last| last + 1);
            if event.id.is_none() || expected.is_some_and(|expected| event.id != Some(expected)) {
                return Ended::Again(CallEnd::Error);
            }
            run.last_event = event.id;
            run.text.push(event.data.unwrap_or_default());
        }
        if run.text.iter().map(String::len).sum::<usize>() > TEXT_LIMIT {
            // No endpoint's whole answer is this long: from the start again, until the job gives it up.
            run.text.clear();
            run.last_event = None;
            return Ended::Again(CallEnd::Error);
        }
        match part {
            BodyPart::More => {}
            BodyPart::End if events.remainder() == 0 => return Ended::Whole,
            _ => return Ended::Again(CallEnd::Lost),
        }
    }
}
