//! Reads frames from a connection.

use quillmount_wire::frame::{FrameError, FrameHeader, HEADER_BYTES, aligned_buffer};
use rkyv::util::AlignedVec;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Reasons why no further frame can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The connection was closed or failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The bytes are not a valid frame.
    #[error("{0}")]
    Frame(FrameError),
}

/// Reads one frame and verifies its body.
pub(super) async fn read_frame<R: AsyncRead + Unpin>(
    reader: &mut R,
) -> Result<(FrameHeader, AlignedVec), ReadError> {
    let mut header = [0; HEADER_BYTES];
    reader.read_exact(&mut header).await?;
    let header = FrameHeader::decode(&header).map_err(ReadError::Frame)?;
    let mut body = aligned_buffer(header.length);
    reader.read_exact(&mut body).await?;
    header.verify(&body).map_err(ReadError::Frame)?;
    Ok((header, body))
}
