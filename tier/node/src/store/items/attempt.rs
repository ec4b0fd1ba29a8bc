//! One attempt to run an item at one endpoint.
//!
//! An endpoint answers with a stream of numbered events. If an attempt breaks off after some of them, the next one resumes
//! after the last event, also at another endpoint.

use super::item_run::ItemRun;
use super::results::append_result;
use crate::clock;
use crate::store::state::Store;
use crate::upstream::{BodyProgress, UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use quillmount_dataplane::event_sequence::{EventIds, EventSequence};
use quillmount_dataplane::events::SseEvent;
use quillmount_wire::Micros;
use quillmount_wire::messages::Phase;
use std::rc::Rc;
use std::time::Duration;

/// Delay before an item is queued again after an attempt without progress.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest text of one item, bytes.
const TEXT_LIMIT: usize = 4 << 20;
/// Largest answer that is not a stream, bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// How an attempt ended.
enum ItemAttemptOutcome {
    /// The text is complete.
    Complete,
    /// The item can't be processed, at any endpoint.
    Unprocessable,
    /// The endpoint ran the item and failed; counts towards the route's maximum.
    Failed,
    /// The item is to be retried or resumed; does not count.
    Retry(CallOutcome),
    /// The job or the term ended meanwhile.
    Cancelled,
}

/// An item that runs at an endpoint.
struct ItemAttempt {
    store: Rc<Store>,
    run: ItemRun,
    reservation: Reservation,
    /// When the request was sent.
    sent: Micros,
    /// Time from the start to the first event, once that has come.
    first_event_latency: Option<Micros>,
}

/// Runs an item at the endpoint that is reserved for it, then commits its result or queues it again.
pub async fn run(store: Rc<Store>, run: ItemRun, reservation: Reservation) {
    let resumed = run.last_event.is_some();
    let cancelled = run.tracked.cancelled.clone();
    let mut attempt = ItemAttempt { store, run, reservation, sent: clock::now(), first_event_latency: None };
    let outcome = tokio::select! {
        outcome = attempt.exchange() => outcome,
        () = cancelled.wait() => ItemAttemptOutcome::Cancelled,
    };
    attempt.release_reservation(&outcome, resumed);
    attempt.conclude(outcome).await;
}

impl ItemAttempt {
    /// Sends the request and reads the answer.
    async fn exchange(&mut self) -> ItemAttemptOutcome {
        let bytes = self.run.request(&self.reservation);
        let request = UpstreamRequest {
            endpoint: &self.reservation.id,
            address: &self.reservation.address,
            request_id: &self.run.item().id,
            bytes: &bytes,
        };
        let mut answer = match self.store.node.upstreams.send(request, self.silence_limit()).await {
            Ok(answer) => answer,
            Err(UpstreamError::Silent) => {
                return ItemAttemptOutcome::Retry(CallOutcome::TimedOut(self.elapsed()));
            }
            Err(_) => return ItemAttemptOutcome::Retry(CallOutcome::Lost),
        };
        if answer.head.status != 200 || !answer.head.is_event_stream() {
            return self.read_status(answer).await;
        }
        let outcome = self.read_events(&mut answer).await;
        if matches!(outcome, ItemAttemptOutcome::Complete) {
            answer.release(&self.store.node.upstreams);
        }
        outcome
    }

    /// Reads an answer that is not a stream of events.
    async fn read_status(&self, mut answer: UpstreamAnswer) -> ItemAttemptOutcome {
        let status = answer.head.status;
        let rejection = CallOutcome::from_rejection(&answer.head);
        let complete = tokio::time::timeout(self.silence_limit(), answer.read_all(ANSWER_LIMIT)).await;
        if !matches!(complete, Ok(Some(_))) {
            return ItemAttemptOutcome::Retry(CallOutcome::Lost);
        }
        answer.release(&self.store.node.upstreams);
        if let Some(rejection) = rejection {
            return ItemAttemptOutcome::Retry(rejection);
        }
        match status {
            422 => ItemAttemptOutcome::Unprocessable,
            500 => ItemAttemptOutcome::Failed,
            _ => ItemAttemptOutcome::Retry(CallOutcome::Error),
        }
    }

    /// Reads events until the stream ends.
    async fn read_events(&mut self, answer: &mut UpstreamAnswer) -> ItemAttemptOutcome {
        let mut sequence = EventSequence::resuming_after(self.run.last_event, EventIds::Required);
        loop {
            let mut bytes = Vec::new();
            let Ok(progress) = tokio::time::timeout(self.silence_limit(), answer.read(&mut bytes)).await
            else {
                return ItemAttemptOutcome::Retry(CallOutcome::TimedOut(self.elapsed()));
            };
            let received = sequence.add(&bytes);
            received.events.into_iter().for_each(|event| self.add_event(event));
            if received.fault.is_some() {
                return ItemAttemptOutcome::Retry(CallOutcome::Error);
            }
            if self.run.text.iter().map(String::len).sum::<usize>() > TEXT_LIMIT {
                // No valid answer is this long: the item starts from the beginning, until the job gives it up.
                self.run.text.clear();
                self.run.last_event = None;
                return ItemAttemptOutcome::Retry(CallOutcome::Error);
            }
            match progress {
                BodyProgress::More => {}
                BodyProgress::End if sequence.is_between_events() => return ItemAttemptOutcome::Complete,
                _ => return ItemAttemptOutcome::Retry(CallOutcome::Lost),
            }
        }
    }

    /// Appends the next event to the item's text.
    fn add_event(&mut self, event: SseEvent) {
        if self.first_event_latency.is_none() {
            self.first_event_latency = Some(self.elapsed());
            self.store.node.dispatcher.borrow_mut().first_event(&self.reservation);
            self.store.node.capacity_freed.notify_waiters();
        }
        self.run.last_event = event.id;
        self.run.text.push(event.data.unwrap_or_default());
    }

    /// An endpoint that sends nothing for this long is given up; the item continues elsewhere.
    fn silence_limit(&self) -> Duration {
        self.store.node.limits.item_silence
    }

    /// Time since the start.
    fn elapsed(&self) -> Micros {
        clock::now().saturating_sub(self.sent)
    }

    /// Reports the attempt to the dispatcher and frees the endpoint's capacity. `resumed` says whether the attempt started
    /// after the first event.
    fn release_reservation(&self, outcome: &ItemAttemptOutcome, resumed: bool) {
        let call_outcome = match outcome {
            ItemAttemptOutcome::Retry(call_outcome) => *call_outcome,
            ItemAttemptOutcome::Failed => CallOutcome::Error,
            ItemAttemptOutcome::Complete | ItemAttemptOutcome::Cancelled => {
                CallOutcome::from_stream_end(self.first_event_latency, resumed)
            }
            ItemAttemptOutcome::Unprocessable => CallOutcome::Abandoned,
        };
        let node = &self.store.node;
        let began = self.first_event_latency.is_some();
        node.metrics.count_call(call_outcome);
        node.dispatcher.borrow_mut().finish(&self.reservation, call_outcome, began, clock::now());
        node.capacity_freed.notify_waiters();
    }

    /// Commits the item's result, or queues the item again.
    async fn conclude(mut self, outcome: ItemAttemptOutcome) {
        match outcome {
            ItemAttemptOutcome::Complete => {
                let text = self.run.text.join("\n");
                append_result(&self.store, self.run, Phase::Done, text);
            }
            ItemAttemptOutcome::Unprocessable => self.give_up(),
            ItemAttemptOutcome::Cancelled => {}
            ItemAttemptOutcome::Failed => {
                self.run.failures += 1;
                if self.run.failures >= self.run.max_attempts(&self.store.node.tables().routes) {
                    self.give_up();
                } else {
                    self.requeue_without_progress().await;
                }
            }
            ItemAttemptOutcome::Retry(_) if self.first_event_latency.is_none() => {
                self.requeue_without_progress().await;
            }
            ItemAttemptOutcome::Retry(_) => {
                self.run.tried.clear();
                self.store.item_queue.enqueue(self.run);
            }
        }
    }

    fn give_up(self) {
        append_result(&self.store, self.run, Phase::DeadLetter, String::new());
    }

    /// Queues the item again after a delay, and prefers other endpoints for the next attempt.
    async fn requeue_without_progress(mut self) {
        self.run.tried.push(self.reservation.id);
        tokio::time::sleep(RETRY_DELAY).await;
        self.store.item_queue.enqueue(self.run);
    }
}
