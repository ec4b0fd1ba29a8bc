//! An operator: sends one line on a connection of its own, and reads the line that answers it.

use std::io::Result;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a call in these chunks, each by a write of its own, and returns the answer.
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
