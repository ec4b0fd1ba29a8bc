//! Encoding and validated decoding of messages with `rkyv`.

use crate::frame::{FrameError, aligned_buffer};
use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// Encodes a message. Encoding can fail only if memory is exhausted, which ends the process anyway.
pub fn encode<T>(message: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    rkyv::to_bytes::<rancor::Error>(message).map(|bytes| bytes.to_vec()).unwrap_or_default()
}

/// Decodes a message from bytes with any alignment.
///
/// # Errors
///
/// [`FrameError::Malformed`] if the bytes are not a valid message of this type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, FrameError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let mut buffer = aligned_buffer(bytes.len());
    buffer.copy_from_slice(bytes);
    decode_aligned(&buffer)
}

/// Decodes a message from a buffer that is aligned as in [`aligned_buffer`].
pub(super) fn decode_aligned<T>(bytes: &[u8]) -> Result<T, FrameError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    rkyv::from_bytes::<T, rancor::Error>(bytes).map_err(|error| FrameError::Malformed(error.to_string()))
}
