//! An operator: one line to a connection, and the line that answers it.

use std::io::Result;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Calls in these pieces, each written by itself, and returns all that came back.
///
/// # Errors
/// The connection broke.
pub async fn call(courier: SocketAddr, chunks: &[&[u8]]) -> Result<String> {
    let mut stream = TcpStream::connect(courier).await?;
    stream.set_nodelay(true)?;
    for chunk in chunks {
        stream.write_all(chunk).await?;
        tokio::task::yield_now().await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
