//! A bare relay between two sockets, in a process of its own: what the courier's speed is compared with.

use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A relay's process, which ends with this value.
pub struct Relay {
    child: Child,
    /// Where it accepts connections.
    pub addr: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Relay {
    /// Starts a relay to this address. `buffer_size`: bytes; 0: tokio's own.
    pub fn start(to: SocketAddr, buffer_size: usize) -> Result<Relay> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["relay", &to.to_string(), &buffer_size.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(Error::other("no output"))?;
        // From here on the process ends with the relay, whatever its first line is.
        let mut relay = Relay { child, addr: to };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        relay.addr = line.trim().parse().map_err(Error::other)?;
        Ok(relay)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

/// The relay's process: copies between two sockets as `tokio::io::copy_bidirectional` does it, one connection after the
/// other, and prints its address first.
pub fn run(to: &str, buffer_size: usize) -> Result<()> {
    let to: SocketAddr = to.parse().map_err(Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        loop {
            let (mut from, _) = listener.accept().await?;
            let mut to = tokio::net::TcpStream::connect(to).await?;
            // One end closes first: that ends the connection, and is no error.
            let _ = match buffer_size {
                0 => tokio::io::copy_bidirectional(&mut from, &mut to).await,
                size => tokio::io::copy_bidirectional_with_sizes(&mut from, &mut to, size, size).await,
            };
        }
    })
}
