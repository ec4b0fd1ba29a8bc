//! An attempt to run an item at one endpoint.
//!
//! An endpoint answers with a stream of numbered events. If an attempt is interrupted after some of them, the next attempt resumes
//! after the last event, possibly at another endpoint.

use super::item_run::{ItemRun, NextStep};
use super::reservation::ReservedEndpoint;
use super::results::{append_result, give_up, stop};
use crate::clock;
use crate::store::state::Store;
use crate::upstream::{BodyProgress, UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_batch::MAX_RESULT_BYTES;
use quillmount_dataplane::batch_item::GiveUpReason;
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use quillmount_dataplane::event_sequence::{EventIds, EventSequence};
use quillmount_dataplane::events::SseEvent;
use quillmount_wire::Micros;
use quillmount_wire::messages::Phase;
use std::rc::Rc;
use std::time::Duration;

/// Delay before an item is queued again after an attempt without progress.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest answer that is not an event stream, bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Outcome of an attempt.
enum ItemAttemptOutcome {
    /// The text of the item is complete.
    Complete,
    /// The item can't be processed at any endpoint.
    Unprocessable,
    /// The endpoint ran the item and failed. This counts towards the largest number of attempts of the route.
    Failed,
    /// The item has to be retried or resumed. This does not count towards the largest number of attempts.
    Retry(CallOutcome),
    /// The job or the term has ended.
    Cancelled,
}

/// A running attempt of an item.
struct ItemAttempt {
    store: Rc<Store>,
    run: ItemRun,
    service: String,
    reservation: Reservation,
    /// Time at which the attempt started.
    started_at: Micros,
    /// Time from the start to the first event; `None` before the first event.
    first_event_latency: Option<Micros>,
}

/// Runs an item at the reserved endpoint, then commits its result or queues the item again.
pub async fn run(store: Rc<Store>, run: ItemRun, reserved: ReservedEndpoint) {
    let ReservedEndpoint { service, reservation } = reserved;
    let is_resumed = run.last_event.is_some();
    let cancelled = run.tracked.cancelled.clone();
    let started_at = clock::now();
    let mut attempt = ItemAttempt { store, run, service, reservation, started_at, first_event_latency: None };
    let outcome = tokio::select! {
        outcome = attempt.exchange() => outcome,
        () = cancelled.wait() => ItemAttemptOutcome::Cancelled,
    };
    attempt.release_reservation(&outcome, is_resumed);
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
            return self.read_other_answer(answer).await;
        }
        let outcome = self.read_events(&mut answer).await;
        if matches!(outcome, ItemAttemptOutcome::Complete) {
            answer.release(&self.store.node.upstreams);
        }
        outcome
    }

    /// Reads an answer that is not an event stream and derives the outcome from its status.
    async fn read_other_answer(&self, mut answer: UpstreamAnswer) -> ItemAttemptOutcome {
        let status = answer.head.status;
        let rejection = CallOutcome::from_rejection(&answer.head, self.run.misdirection());
        let body = tokio::time::timeout(self.silence_limit(), answer.read_all(MAX_ANSWER_BYTES)).await;
        if !matches!(body, Ok(Some(_))) {
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

    /// Reads events until the stream ends or breaks.
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
            if self.run.result_bytes() > MAX_RESULT_BYTES {
                // No valid answer is this long. The item restarts from the beginning until it has a result or its retention time ends.
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
            self.announce_capacity();
        }
        self.run.last_event = event.id;
        self.run.text.push(event.data.unwrap_or_default());
    }

    /// Time without data after which the attempt ends, so that the item can resume at another endpoint.
    fn silence_limit(&self) -> Duration {
        self.store.node.limits.item_silence
    }

    /// Returns the time since the start of the attempt.
    fn elapsed(&self) -> Micros {
        clock::now().saturating_sub(self.started_at)
    }

    /// Reports the outcome to the dispatcher and frees the capacity of the endpoint. `is_resumed` states whether the attempt
    /// continued the text of an earlier attempt.
    fn release_reservation(&self, outcome: &ItemAttemptOutcome, is_resumed: bool) {
        let call_outcome = match outcome {
            ItemAttemptOutcome::Retry(call_outcome) => *call_outcome,
            ItemAttemptOutcome::Failed => CallOutcome::Error,
            ItemAttemptOutcome::Complete | ItemAttemptOutcome::Cancelled => {
                CallOutcome::from_stream_end(self.first_event_latency, is_resumed)
            }
            ItemAttemptOutcome::Unprocessable => CallOutcome::Abandoned,
        };
        let node = &self.store.node;
        let has_first_event = self.first_event_latency.is_some();
        node.metrics.count_call(call_outcome);
        node.dispatcher.borrow_mut().finish(&self.reservation, call_outcome, has_first_event, clock::now());
        self.announce_capacity();
    }

    /// Wakes the task that starts items, as the service may have capacity again.
    fn announce_capacity(&self) {
        self.store.full_services.remove(&self.service);
        self.store.node.capacity_freed.notify_waiters();
    }

    /// Commits the item's result, or queues the item again.
    async fn conclude(mut self, outcome: ItemAttemptOutcome) {
        match outcome {
            ItemAttemptOutcome::Complete => {
                let text = self.run.text.join("\n");
                append_result(&self.store, self.run, Phase::Done, text);
            }
            ItemAttemptOutcome::Unprocessable => {
                let endpoint = &self.reservation.id;
                tracing::info!(
                    job = self.run.job.id,
                    item = self.run.item().id,
                    endpoint,
                    "an endpoint can't process an item"
                );
                give_up(&self.store, self.run, GiveUpReason::Unprocessable);
            }
            ItemAttemptOutcome::Cancelled => {}
            ItemAttemptOutcome::Failed => {
                self.run.failed_attempts.add(&self.reservation.id);
                match self.run.next_step(&self.store.node) {
                    NextStep::Stop(reason) => stop(&self.store, self.run, reason),
                    NextStep::Reserve => self.requeue_without_progress().await,
                }
            }
            ItemAttemptOutcome::Retry(_) if self.first_event_latency.is_none() => {
                self.requeue_without_progress().await;
            }
            ItemAttemptOutcome::Retry(_) => {
                self.run.tried_endpoints.clear();
                self.store.waiting_items.enqueue(self.run);
            }
        }
    }

    /// Queues the item again after a delay. The next attempt prefers other endpoints.
    async fn requeue_without_progress(mut self) {
        self.run.tried_endpoints.push(self.reservation.id);
        tokio::time::sleep(RETRY_DELAY).await;
        self.store.waiting_items.enqueue(self.run);
    }
}
