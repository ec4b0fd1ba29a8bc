//! An answer that is not a stream: passed on once it is whole.

use super::{ANSWER_LIMIT, AttemptOutcome, Forward, response_head};
use crate::clock;
use crate::edge::connection::ServeOutcome;
use crate::http::{Connection, HttpResponse};
use crate::upstream::UpstreamAnswer;
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use std::time::Duration;

impl Forward<'_> {
    /// Passes on an answer that is not a stream, once it is whole.
    pub(super) async fn forward_buffered(
        &mut self,
        connection: &mut Connection,
        reservation: &Reservation,
        mut answer: UpstreamAnswer,
        sent: u64,
        keep_alive: bool,
    ) -> AttemptOutcome {
        let left = Duration::from_micros(self.deadline.saturating_sub(clock::micros()));
        let body = tokio::select! {
            body = tokio::time::timeout(left, answer.read_all(ANSWER_LIMIT)) => body.ok().flatten(),
            () = connection.client_disconnected() => {
                self.finish(reservation, CallOutcome::Abandoned, false);
                return AttemptOutcome::Done(ServeOutcome::Abort);
            }
        };
        let status = answer.head.status;
        let spent = clock::micros().saturating_sub(sent);
        let Some(body) = body else {
            self.finish(reservation, CallOutcome::Lost, false);
            return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint broke off"));
        };
        let failed = status >= 500;
        self.finish(
            reservation,
            if failed { CallOutcome::Error } else { CallOutcome::FirstEvent(spent) },
            false,
        );
        let head = answer.head.clone();
        answer.release(&self.node.upstreams);
        if failed
            && self.route.idempotent()
            && self.runs < self.route.max_attempts
            && clock::micros() < self.deadline
        {
            return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint failed"));
        }
        if self.begun {
            return AttemptOutcome::Done(ServeOutcome::Abort);
        }
        if status / 100 == 2 {
            self.count();
        }
        let keep_alive = keep_alive && !self.node.stopping.get();
        let mut bytes = response_head(&head, keep_alive);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(&body);
        let written = connection.write(&bytes).await;
        AttemptOutcome::Done(match written {
            Err(_) => ServeOutcome::Abort,
            Ok(()) if keep_alive => ServeOutcome::KeepAlive,
            Ok(()) => ServeOutcome::Close,
        })
    }
}
