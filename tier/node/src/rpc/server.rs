//! Answers the calls of other processes.

use super::read_frame::{ReadError, read_frame};
use super::traffic::PeerTraffic;
use crate::socket;
use quillmount_wire::frame::{FrameKind, HEADER_BYTES, encode};
use quillmount_wire::messages::{Request, Response};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Largest number of responses queued for one connection.
const MAX_QUEUED_RESPONSES: usize = 1024;
/// TCP user timeout: the connection ends if the peer does not acknowledge sent data for this time.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of a connection's read buffer, bytes.
const READ_BUFFER_BYTES: usize = 8192;

/// Handler of requests; its result is `None` if the request has no response.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Option<Response>>>>>;

/// Accepts connections and answers their calls until the process ends. `traffic` counts the exchanged bytes.
pub async fn serve(listener: TcpListener, handler: Handler, traffic: Rc<PeerTraffic>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                socket::set_options(&stream, USER_TIMEOUT);
                // The task is detached and ends with its connection.
                tokio::task::spawn_local(serve_connection(stream, peer, handler.clone(), traffic.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection from a peer failed");
                tokio::time::sleep(socket::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, handler: Handler, traffic: Rc<PeerTraffic>) {
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    let (responses, outgoing) = mpsc::channel(MAX_QUEUED_RESPONSES);
    // The task is detached. It ends when the connection fails or the last sender of responses is dropped.
    tokio::task::spawn_local(write_responses(writer, outgoing, traffic.clone()));
    loop {
        let (header, body) = match read_frame(&mut reader).await {
            Ok(frame) => frame,
            Err(ReadError::Io(_)) => return,
            Err(error) => {
                tracing::warn!(%peer, %error, "closing the connection from a peer: unreadable frame");
                return;
            }
        };
        traffic.count_received(HEADER_BYTES + body.len());
        let request = match Request::decode(&body) {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(%peer, %error, "closing the connection from a peer: unreadable request");
                return;
            }
        };
        let (handler, responses) = (handler.clone(), responses.clone());
        // Each call is handled by a detached task, so that a slow answer does not delay the calls that follow. The task ends with the
        // answer.
        tokio::task::spawn_local(async move {
            let response = handler(request).await;
            if let Some(response) = response
                && header.kind == FrameKind::Request
            {
                let frame = encode(FrameKind::Response, header.call, &response.encode());
                // Fails if the connection is closed, in which case no caller waits for the response.
                let _ = responses.send(frame).await;
            }
        });
    }
}

async fn write_responses(
    mut writer: OwnedWriteHalf,
    mut outgoing: mpsc::Receiver<Vec<u8>>,
    traffic: Rc<PeerTraffic>,
) {
    while let Some(frame) = outgoing.recv().await {
        traffic.count_sent(frame.len());
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}
