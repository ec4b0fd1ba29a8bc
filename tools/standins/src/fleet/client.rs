//! A client that submits messages to one courier of a fleet and records the answers.

use crate::client::{self, MessageRequest};
use crate::record::{BodyDigest, RecordedSubmission, Recorder};
use std::net::SocketAddr;

/// Submits messages to one courier, and records them with their answers.
#[derive(Clone, Debug)]
pub struct FleetClient {
    /// The courier, by its number.
    pub courier: usize,
    pub(super) addr: SocketAddr,
    pub(super) recorder: Recorder,
}

impl FleetClient {
    /// Submits a message, and returns the status of the answer; 0: the connection broke.
    pub async fn submit(&self, message: &MessageRequest, body: &[u8]) -> u16 {
        let submission = self.record_submission(message, body);
        let answer = client::submit(self.addr, message, body).await;
        let status = answer.map_or(0, |head| head.status());
        self.recorder.write(|record, when| record.submissions[submission].answer = Some((when, status)));
        status
    }

    /// Records a submission before its first byte is sent, and returns its index in the record.
    fn record_submission(&self, message: &MessageRequest, body: &[u8]) -> usize {
        let body = BodyDigest::of(body);
        self.recorder.write(|record, submitted_at| {
            record.submissions.push(RecordedSubmission {
                submitted_at,
                courier: self.courier,
                id: message.id.clone(),
                class: message.class.clone(),
                key: message.key.clone(),
                dest: message.dest,
                time_left: message.time_left.as_micros() as u64,
                body,
                answer: None,
            });
            record.submissions.len() - 1
        })
    }
}
