//! Clients' messages of settlements: checks them, requests their submission from the settlement's owner, and answers once the
//! owner has replied.

use super::SettlementHost;
use crate::transport::courier::SettlementAnswer;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use quillmount_core::Submission;
use quillmount_core::router::{Intake, OVERLOAD_RETRY_AFTER};
use quillmount_fleet::settlement::forward::REQUEST_RETRY;
use quillmount_fleet::settlement::journal_lines::MessagePayload;
use quillmount_fleet::settlement::translator;
use quillmount_fleet::settlement::{
    End, Repeat, SequencedMessage, SettlementError, SettlementId, SettlementReply, SettlementRequest,
};
use quillmount_protocol::submission;
use std::rc::Rc;

impl SettlementHost {
    /// Submits a client's message; `None`: it belongs to no settlement that is carried.
    pub(super) fn submit(
        self: Rc<Self>,
        submission: &Submission,
        addressing: &str,
    ) -> Option<SettlementAnswer> {
        if !self.dests.contains(&submission.dest) {
            return None;
        }
        let tenant = submission.tenant.clone().unwrap_or_default();
        let header = match translator::parse_header(&tenant, addressing) {
            Ok(header) => header?,
            Err(error) => return Some(answer_now(reject(&error))),
        };
        let id = SettlementId { tenant, name: header.settlement, dest: submission.dest };
        let Some(position) = header.position else {
            let error = SettlementError::Field { position_ref: id.position_ref(0), field: "position".into() };
            return Some(answer_now(reject(&error)));
        };
        if let Some(intake) = self.courier.refuses(submission) {
            return Some(answer_now(submission::answer(intake)));
        }
        if let Some(rejected) = self.courier.reject_by_gate() {
            return Some(answer_now(submission::answer(rejected)));
        }
        let payload = MessagePayload::from_message(submission);
        let sequenced = SequencedMessage {
            position,
            total: header.total,
            message_id: submission.id.clone(),
            // An attempt here is a submission to the router, which deduplicates by id and has rules of its own:
            // it repeats no debit that may have run, however often that is submitted.
            repeat: Repeat::Freely,
            deadline: self.now().saturating_add(submission.time_left),
            size: payload.body.len() as u64,
            checksum: payload.checksum(),
        };
        let reply = self.request(id, SettlementRequest::Submit(sequenced), payload);
        Some(Box::pin(async move { self.answer(reply.await.ok()) }))
    }

    /// The client's response; `None`: the request was dropped without a reply.
    fn answer(&self, reply: Option<SettlementReply>) -> Response<Bytes> {
        match reply {
            Some(SettlementReply::Accepted) => submission::answer(Intake::Accepted),
            Some(SettlementReply::Ended(End::Delivered)) => submission::answer(Intake::Delivered),
            Some(SettlementReply::Ended(_)) => submission::answer(Intake::Failed),
            Some(SettlementReply::Rejected(error)) => reject(&error),
            None => {
                self.courier.count(|counters| counters.rejected += 1);
                submission::answer(Intake::Rejected { after: REQUEST_RETRY })
            }
        }
    }
}

/// An answer that waits for nothing.
fn answer_now(response: Response<Bytes>) -> SettlementAnswer {
    Box::pin(std::future::ready(response))
}

/// The response to a message that its settlement has rejected.
fn reject(error: &SettlementError) -> Response<Bytes> {
    let after = match error {
        SettlementError::TooManyWaiting { retry_after, .. }
        | SettlementError::TooManyOpen { retry_after, .. }
        | SettlementError::Busy { retry_after, .. } => Some(*retry_after),
        SettlementError::StorageFull(_) | SettlementError::NoPinnableConnection { .. } => {
            Some(OVERLOAD_RETRY_AFTER)
        }
        SettlementError::NoReply(_) => Some(REQUEST_RETRY),
        _ => None,
    };
    let status = match error {
        _ if after.is_some() => StatusCode::SERVICE_UNAVAILABLE,
        SettlementError::Ended { .. } | SettlementError::PositionConflict { .. } => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    };
    submission::answer_with(status, &format!("{error}\n"), after)
}
