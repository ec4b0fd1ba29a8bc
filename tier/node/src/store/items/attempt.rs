//! One run of an item at one endpoint.

use super::{ItemRun, append_result};
use crate::clock;
use crate::store::Store;
use crate::upstream::{BodyProgress, UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use quillmount_dataplane::events::EventReader;
use quillmount_wire::messages::Phase;
use std::rc::Rc;
use std::time::Duration;

/// An endpoint that is silent for so long is left; the item goes on elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Pause of an item after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest text of one item, bytes.
const TEXT_LIMIT: usize = 4 << 20;
/// Largest answer that is not a stream, bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// How a run at one endpoint ended.
enum RunOutcome {
    Complete,
    /// The endpoint can never do it.
    Unprocessable,
    Failed,
    /// To be tried again, or gone on with, elsewhere.
    Retry(CallOutcome),
    Cancelled,
}

/// Runs an item at an endpoint, and lists its result or puts it back.
pub(super) async fn run(store: Rc<Store>, mut run: ItemRun, reservation: Reservation) {
    let sent = clock::micros();
    let mut first = None;
    let resumed = run.last_event.is_some();
    let cancel = run.tracked.cancel.clone();
    let ended = tokio::select! {
        ended = exchange(&store, &mut run, &reservation, sent, &mut first) => ended,
        () = cancel.cancelled() => RunOutcome::Cancelled,
    };
    let end = match (&ended, first) {
        (RunOutcome::Retry(end), _) => *end,
        (RunOutcome::Failed, _) => CallOutcome::Error,
        (RunOutcome::Complete | RunOutcome::Cancelled, Some(_)) if resumed => CallOutcome::Resumed,
        (RunOutcome::Complete | RunOutcome::Cancelled, Some(latency)) => CallOutcome::FirstEvent(latency),
        _ => CallOutcome::Abandoned,
    };
    store.node.dispatcher.borrow_mut().finish(&reservation, end, first.is_some(), clock::micros());
    store.node.capacity_freed.notify_waiters();
    match ended {
        RunOutcome::Complete => {
            let text = run.text.join("\n");
            append_result(&store, run, Phase::Done, text);
        }
        RunOutcome::Unprocessable => append_result(&store, run, Phase::DeadLetter, String::new()),
        RunOutcome::Cancelled => {}
        RunOutcome::Failed => {
            run.failures += 1;
            if run.failures >= run.max_attempts(&store) {
                return append_result(&store, run, Phase::DeadLetter, String::new());
            }
            requeue(store, run, reservation, true).await;
        }
        RunOutcome::Retry(_) => requeue(store, run, reservation, first.is_none()).await,
    }
}

async fn requeue(store: Rc<Store>, mut run: ItemRun, reservation: Reservation, no_progress: bool) {
    if no_progress {
        run.tried.push(reservation.id);
        tokio::time::sleep(RETRY_DELAY).await;
    } else {
        run.tried.clear();
    }
    store.item_queue.enqueue(run);
}

async fn exchange(
    store: &Rc<Store>,
    run: &mut ItemRun,
    reservation: &Reservation,
    sent: u64,
    first: &mut Option<u64>,
) -> RunOutcome {
    let bytes = run.request(reservation);
    let id = run.item().id.clone();
    let request = UpstreamRequest {
        endpoint: &reservation.id,
        address: &reservation.address,
        request_id: &id,
        bytes: &bytes,
    };
    let mut answer = match store.node.upstreams.send(request, SILENCE_TIMEOUT).await {
        Ok(answer) => answer,
        Err(UpstreamError::Silent) => {
            return RunOutcome::Retry(CallOutcome::TimedOut(clock::micros().saturating_sub(sent)));
        }
        Err(_) => return RunOutcome::Retry(CallOutcome::Lost),
    };
    let head = &answer.head;
    let stream = head.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if head.status == 200 && stream {
        let ended = read_events(store, run, reservation, &mut answer, sent, first).await;
        if matches!(ended, RunOutcome::Complete) {
            answer.release(&store.node.upstreams);
        }
        return ended;
    }
    let (status, not_run) = (head.status, head.headers.get("Not-Run").is_some());
    let complete = tokio::time::timeout(SILENCE_TIMEOUT, answer.read_all(ANSWER_LIMIT)).await;
    if !matches!(complete, Ok(Some(_))) {
        return RunOutcome::Retry(CallOutcome::Lost);
    }
    answer.release(&store.node.upstreams);
    match status {
        421 => RunOutcome::Retry(CallOutcome::Replaced),
        _ if not_run => RunOutcome::Retry(CallOutcome::Refused),
        422 => RunOutcome::Unprocessable,
        500 => RunOutcome::Failed,
        _ => RunOutcome::Retry(CallOutcome::Error),
    }
}

async fn read_events(
    store: &Rc<Store>,
    run: &mut ItemRun,
    reservation: &Reservation,
    answer: &mut UpstreamAnswer,
    sent: u64,
    first: &mut Option<u64>,
) -> RunOutcome {
    let mut events = EventReader::default();
    loop {
        let mut bytes = Vec::new();
        let Ok(progress) = tokio::time::timeout(SILENCE_TIMEOUT, answer.read(&mut bytes)).await else {
            return RunOutcome::Retry(CallOutcome::TimedOut(clock::micros().saturating_sub(sent)));
        };
        events.add(&bytes);
        loop {
            let event = match events.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return RunOutcome::Retry(CallOutcome::Error),
            };
            if first.is_none() {
                *first = Some(clock::micros().saturating_sub(sent));
                store.node.dispatcher.borrow_mut().first_event(reservation);
                store.node.capacity_freed.notify_waiters();
            }
            // Without its number an event can't be placed, and one out of its turn belongs to another run.
            let expected = run.last_event.map(|last| last + 1);
            if event.id.is_none() || expected.is_some_and(|expected| event.id != Some(expected)) {
                return RunOutcome::Retry(CallOutcome::Error);
            }
            run.last_event = event.id;
            run.text.push(event.data.unwrap_or_default());
        }
        if run.text.iter().map(String::len).sum::<usize>() > TEXT_LIMIT {
            // No endpoint's whole answer is this long: from the start again, until the job gives it up.
            run.text.clear();
            run.last_event = None;
            return RunOutcome::Retry(CallOutcome::Error);
        }
        match progress {
            BodyProgress::More => {}
            BodyProgress::End if events.remainder() == 0 => return RunOutcome::Complete,
            _ => return RunOutcome::Retry(CallOutcome::Lost),
        }
    }
}
