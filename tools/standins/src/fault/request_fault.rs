//! Faults that affect a single request on a link.

/// Offsets at which a random fault truncates a request, from the first byte of its head.
const RANDOM_CUT: std::ops::Range<usize> = 1..400;
/// Offsets at which a random fault truncates a request, from the first byte of its body.
const RANDOM_BODY_CUT: std::ops::Range<usize> = 0..400;

/// What happens to a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// This many of its bytes arrive, counted from the first byte of its head; then the connection is closed on both sides.
    CutAt(usize),
    /// The same, counted from the first byte of its body.
    CutInBody(usize),
    /// It arrives, and once more on a connection of its own; the second answer is dropped.
    Duplicate,
    /// It arrives, and is stored for [`Link::replay`](crate::fleet::link::Link::replay).
    Capture,
    /// It arrives; when the first byte of its answer does, the connection is closed instead.
    LoseAnswer,
    /// It waits at its first byte for [`Link::release`](crate::fleet::link::Link::release).
    Block,
}

impl RequestFault {
    /// A random fault among those that take effect without a further call, drawn from the generator.
    pub fn random(seed: &mut fastrand::Rng) -> RequestFault {
        match seed.u8(0..4) {
            0 => RequestFault::CutAt(seed.usize(RANDOM_CUT)),
            1 => RequestFault::CutInBody(seed.usize(RANDOM_BODY_CUT)),
            2 => RequestFault::Duplicate,
            _ => RequestFault::LoseAnswer,
        }
    }
}
