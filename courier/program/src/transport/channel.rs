//! Frames and descriptors over the Unix socket between a courier's processes.

use actix_rt::net::TcpStream;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::UnixStream;

/// The first bytes from both sides, with the version: another version is not read, and its process restores from the
/// journal instead.
const HELLO: [u8; 6] = *b"qmh\x00\x00\x03";
/// The longest frame, in bytes. The longest one has the complete state: the open messages, which fit into the disk quota,
/// and the state of some thousands of destinations.
const FRAME_MAX: usize = 16 * 1024 * 1024;
/// Bytes that one read may take.
const READ: usize = 64 * 1024;
/// Descriptors in one message, sent and read: one to a frame, and the kernel never joins two such messages.
const FDS: usize = 4;

/// The longest name of a Unix socket, in bytes: 108 with the zero byte.
const NAME_MAX: usize = 107;

/// Why an exchange between two processes of a courier failed.
#[derive(Debug, thiserror::Error)]
pub enum ChannelError {
    /// The other process is gone.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other process has another version of the frames.
    #[error("another version")]
    OtherVersion,
    /// A frame that was to be sent can't be encoded.
    #[error(transparent)]
    Encode(postcard::Error),
    /// A frame that was to be sent is longer than a frame may be.
    #[error("a frame over its limit")]
    TooLong,
    /// The other process announces a longer frame than there may be.
    #[error("a frame of {0} bytes")]
    AnnouncedTooLong(usize),
    /// A frame that was received can't be decoded.
    #[error(transparent)]
    Decode(postcard::Error),
    /// The other process did not confirm what it received.
    #[error("not confirmed")]
    NotConfirmed,
    /// The other process did not send its frame in time.
    #[error("timed out")]
    TimedOut,
}

/// The path at which the process that has the folder listens for the next one. A long path goes by way of the folder's
/// descriptor, which has to stay open while the path is used.
///
/// # Errors
/// The folder can't be opened.
pub fn path(folder: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let name = folder.join("handover");
    if name.as_os_str().len() <= NAME_MAX {
        return Ok((name, None));
    }
    let folder = File::open(folder)?;
    Ok((format!("/proc/self/fd/{}/handover", folder.as_raw_fd()).into(), Some(folder)))
}

/// Connects to the process that has the folder.
///
/// # Errors
/// No process listens there.
pub async fn reach(folder: &Path) -> io::Result<UnixStream> {
    let (path, _folder) = path(folder)?;
    UnixStream::connect(path).await
}

/// One connection between two processes.
pub struct Channel {
    stream: UnixStream,
    inbox: Vec<u8>,
    fds: VecDeque<OwnedFd>,
}

impl Channel {
    /// Exchanges the versions with the other side.
    ///
    /// # Errors
    /// The other side is gone, or of another version.
    pub async fn open(stream: UnixStream) -> Result<Channel, ChannelError> {
        let mut channel = Channel { stream, inbox: Vec::new(), fds: VecDeque::new() };
        channel.write(&HELLO, None).await?;
        while channel.inbox.len() < HELLO.len() {
            channel.read().await?;
        }
        if !channel.inbox.starts_with(&HELLO) {
            return Err(ChannelError::OtherVersion);
        }
        channel.inbox.drain(..HELLO.len());
        Ok(channel)
    }

    /// The process id of the other side.
    pub fn peer(stream: &UnixStream) -> Option<i32> {
        stream.peer_cred().ok()?.pid()
    }

    /// Sends a frame, with a descriptor if one is given.
    ///
    /// # Errors
    /// The other side is gone, or the frame is too long.
    pub async fn send<T: Serialize>(
        &mut self,
        frame: &T,
        fd: Option<BorrowedFd<'_>>,
    ) -> Result<(), ChannelError> {
        let payload = postcard::to_allocvec(frame).map_err(ChannelError::Encode)?;
        let len = u32::try_from(payload.len()).ok().filter(|len| *len as usize <= FRAME_MAX);
        let len = len.ok_or(ChannelError::TooLong)?;
        let mut bytes = len.to_le_bytes().to_vec();
        bytes.extend_from_slice(&payload);
        self.write(&bytes, fd).await?;
        Ok(())
    }

    /// Receives the next frame; its descriptor, if it has one, is the next of [`Channel::fd`].
    ///
    /// # Errors
    /// The other side is gone, or sends what can't be decoded.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<T, ChannelError> {
        loop {
            if let Some((len, rest)) = self.inbox.split_first_chunk::<4>() {
                let len = u32::from_le_bytes(*len) as usize;
                if len > FRAME_MAX {
                    return Err(ChannelError::AnnouncedTooLong(len));
                }
                if rest.len() >= len {
                    let frame = postcard::from_bytes(&rest[..len]).map_err(ChannelError::Decode)?;
                    self.inbox.drain(..4 + len);
                    return Ok(frame);
                }
            }
            self.read().await?;
        }
    }

    /// The next descriptor that was received.
    pub fn fd(&mut self) -> Option<OwnedFd> {
        self.fds.pop_front()
    }

    async fn write(&mut self, mut bytes: &[u8], mut fd: Option<BorrowedFd<'_>>) -> io::Result<()> {
        while !bytes.is_empty() {
            let sent = self.stream.async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                let fds = fd.as_slice();
                if !fds.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(fds));
                }
                let sent = rustix::net::sendmsg(
                    self.stream.as_fd(),
                    &[IoSlice::new(bytes)],
                    &mut control,
                    SendFlags::NOSIGNAL,
                );
                sent.map_err(io::Error::from)
            });
            bytes = &bytes[sent.await?..];
            fd = None;
        }
        Ok(())
    }

    async fn read(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; READ];
        let (stream, fds) = (&self.stream, &mut self.fds);
        let read = stream.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(FDS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let message = rustix::net::recvmsg(
                stream.as_fd(),
                &mut [IoSliceMut::new(&mut chunk)],
                &mut control,
                RecvFlags::CMSG_CLOEXEC,
            )
            .map_err(io::Error::from)?;
            for ancillary in control.drain() {
                if let RecvAncillaryMessage::ScmRights(received) = ancillary {
                    fds.extend(received);
                }
            }
            Ok(message.bytes)
        });
        match read.await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.inbox.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }
}

/// The connection behind a descriptor of another process.
///
/// # Errors
/// The descriptor is no socket.
pub fn adopt(fd: OwnedFd) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(fd);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
