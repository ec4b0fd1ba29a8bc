//! Receives the other couriers' messages: actix-http's HTTP/1.1 service, on an address from the operator file.

use super::links::PATH;
use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use quillmount_fleet::message::{Envelope, MAX_ENVELOPE_BYTES};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Wait after a failed accept, which mostly lacks descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Connections at once for each member: one is in use, and one that it has given up is closed within a moment.
pub const CONNECTIONS_PER_PEER: usize = 2;
/// Connections at once for any other caller.
pub const SPARE_CONNECTIONS: usize = 8;

/// How many connections there may be at once, with this many peers.
pub fn connection_limit(peers: usize) -> usize {
    (peers + 1) * CONNECTIONS_PER_PEER + SPARE_CONNECTIONS
}

/// Accepts other couriers until it is dropped; more connections than `limit` are closed at once. `receive` handles an envelope,
/// and returns the one that goes back.
pub async fn serve(
    listener: TcpListener,
    limit: usize,
    receive: impl Fn(Envelope) -> Option<Envelope> + 'static,
) {
    let open = Rc::new(());
    let receive = Rc::new(receive);
    let answering = fn_service(move |request: Request| {
        let receive = receive.clone();
        async move { Ok::<_, Infallible>(answer(&*receive, request).await) }
    });
    let service = HttpService::build().keep_alive(KeepAlive::Timeout(KEEP_ALIVE)).h1(answering);
    let Ok(service) = service.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((_, peer)) if Rc::strong_count(&open) > limit => {
                tracing::debug!("fleet: a connection from {peer} is closed: {limit} are open");
            }
            Ok((stream, peer)) => {
                // Where this fails, an answer waits a moment.
                let _ = stream.set_nodelay(true);
                let (service, open) = (service.clone(), open.clone());
                actix_rt::spawn(async move {
                    let _open = open;
                    if let Err(e) = service.call((stream, Some(peer))).await {
                        tracing::debug!("fleet: a connection from {peer}: {e}");
                    }
                });
            }
            Err(e) => {
                tracing::warn!(error = %e, "fleet: accepting a connection from another courier failed");
                actix_rt::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Receives an envelope; the answer has the one that goes back.
async fn answer(receive: &impl Fn(Envelope) -> Option<Envelope>, request: Request) -> Response<Bytes> {
    if request.method() != Method::POST || request.path() != PATH {
        return reject(StatusCode::NOT_FOUND, format!("POST {PATH} is what couriers of this version say"));
    }
    let mut payload = request.into_parts().1;
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= MAX_ENVELOPE_BYTES => body.extend_from_slice(&chunk),
            Ok(_) => {
                return reject(StatusCode::PAYLOAD_TOO_LARGE, format!("{MAX_ENVELOPE_BYTES} bytes at most"));
            }
            Err(e) => return reject(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }
    match Envelope::decode(&body) {
        Err(e) => reject(StatusCode::BAD_REQUEST, e.to_string()),
        Ok(envelope) => match receive(envelope) {
            None => Response::with_body(StatusCode::NO_CONTENT, Bytes::new()),
            Some(reply) => Response::with_body(StatusCode::OK, Bytes::from(reply.encode())),
        },
    }
}

fn reject(status: StatusCode, why: String) -> Response<Bytes> {
    Response::with_body(status, Bytes::from(why))
}
