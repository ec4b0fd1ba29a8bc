//! An answer that is not a stream: passed on once it is whole.

use super::{ANSWER_LIMIT, Attempt, Forward, response_head};
use crate::clock;
use crate::edge::connection::Served;
use crate::http::{Answer, Connection};
use crate::upstream::UpstreamAnswer;
use quillmount_dataplane::dispatch::{CallEnd, Placement};
use std::time::Duration;

impl Forward<'_> {
    /// Passes on an answer that is not a stream, once it is whole.
    pub(super) async fn whole(
        &mut self,
        connection: &mut Connection,
        placement: &Placement,
        mut answer: UpstreamAnswer,
        sent: u64,
        keep_alive: bool,
    ) -> Attempt {
        let left = Duration::from_micros(self.deadline.saturating_sub(clock::micros()));
        let body = tokio::select! {
            body = tokio::time::timeout(left, answer.read_all(ANSWER_LIMIT)) => body.ok().flatten(),
            () = connection.client_left() => {
                self.finish(placement, CallEnd::Abandoned, false);
                return Attempt::Done(Served::Abort);
            }
        };
        let status = answer.head.status;
        let spent = clock::micros().saturating_sub(sent);
        let Some(body) = body else {
            self.finish(placement, CallEnd::Lost, false);
            return Attempt::Again(Answer::text(502, "the endpoint broke off"));
        };
        let failed = status >= 500;
        self.finish(placement, if failed { CallEnd::Error } else { CallEnd::FirstEvent(spent) }, false);
        let head = answer.head.clone();
        answer.release(&self.node.upstreams);
        if failed
            && self.route.idempotent()
            && self.runs < self.route.tries
            && clock::micros() < self.deadline
        {
            return Attempt::Again(Answer::text(502, "the endpoint failed"));
        }
        if self.begun {
            return Attempt::Done(Served::Abort);
        }
        if status / 100 == 2 {
            self.count();
        }
        let keep_alive = keep_alive && !self.node.stopping.get();
        let mut bytes = response_head(&head, keep_alive);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(&body);
        let written = connection.write(&bytes).await;
        Attempt::Done(match written {
            Err(_) => Served::Abort,
            Ok(()) if keep_alive => Served::KeepAlive,
            Ok(()) => Served::Close,
        })
    }
}
