//! Takes calls of other processes.

use super::{ReadError, read_frame, set_socket_options};
use quillmount_wire::frame::{FrameKind, encode};
use quillmount_wire::messages::{Request, Response};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// Answers that wait for one connection at most.
const QUEUE_LIMIT: usize = 1024;
/// Connections that wait to be accepted at most.
const BACKLOG: u32 = 1024;
/// An answer that the other side does not take in this time ends the connection.
const SILENCE: Duration = Duration::from_secs(3);

/// What answers a call; `None` for a message that nobody answers.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Option<Response>>>>>;

/// Listens on an address, which may still be held by a connection of the process before.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address =
        address.parse().map_err(|error| std::io::Error::new(std::io::ErrorKind::InvalidInput, error))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections for as long as the process lives.
pub async fn serve(listener: TcpListener, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream, SILENCE);
                tokio::task::spawn_local(serve_connection(stream, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "a connection of another process was not accepted");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler) {
    let (reader, writer) = stream.into_split();
    let mut reader = tokio::io::BufReader::with_capacity(8192, reader);
    let (answers, outgoing) = mpsc::channel(QUEUE_LIMIT);
    tokio::task::spawn_local(write_answers(writer, outgoing));
    loop {
        let (head, body) = match read_frame(&mut reader).await {
            Ok(frame) => frame,
            Err(ReadError::Io(_)) => return,
            Err(error) => {
                tracing::warn!(%error, "connection closed");
                return;
            }
        };
        let request = match Request::decode(&body) {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(%error, "connection closed");
                return;
            }
        };
        let (handler, answers) = (handler.clone(), answers.clone());
        tokio::task::spawn_local(async move {
            let response = handler(request).await;
            if let Some(response) = response
                && head.kind == FrameKind::Request
            {
                let _ = answers.send(encode(FrameKind::Response, head.call, &response.encode())).await;
            }
        });
    }
}

async fn write_answers(mut writer: OwnedWriteHalf, mut outgoing: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = outgoing.recv().await {
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}
