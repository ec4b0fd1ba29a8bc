//! TCP sockets with the options that all connections of this process have.

use std::io::{Error, ErrorKind};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which opening a connection to another process is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged bytes end a connection to another process.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after a failed accept: it usually fails for want of file descriptors, which is not over at once.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens on an IPv4 address, even if connections of a previous process on it are not fully closed.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address = address.parse().map_err(|error| Error::new(ErrorKind::InvalidInput, error))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects to another process of the tier or to the platform; `None` if that fails.
pub async fn connect(address: &str) -> Option<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT, USER_TIMEOUT).await
}

/// Connects within `connect_timeout`; `None` if that fails. Bytes that are not acknowledged for `user_timeout` end the
/// connection.
pub async fn connect_within(
    address: &str,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> Option<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    set_options(&stream, user_timeout);
    Some(stream)
}

/// Sets `TCP_NODELAY`, and `TCP_USER_TIMEOUT` (RFC 5482) so that a silent peer ends the connection. A connection works without
/// them too, so errors are ignored.
pub fn set_options(stream: &TcpStream, user_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

/// Waits for bytes and appends at most `LIMIT` of them to `buffer`. Returns their number, 0 at the end of the connection.
pub async fn read_available<const LIMIT: usize>(
    stream: &TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut bytes = [0; LIMIT];
        match stream.try_read(&mut bytes) {
            Ok(read) => {
                buffer.extend_from_slice(&bytes[..read]);
                return Ok(read);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
