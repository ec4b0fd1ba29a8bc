//! One body between its two tasks: the bytes in its window, the flow that bounds them, and the signals between the two.

use super::Streams;
use bytes::{Buf, Bytes};
use quillmount_core::StreamHead;
use quillmount_core::flow::{Cut, Flow};
use quillmount_core::router::StreamEnd;
use quillmount_policy::{Micros, MsgId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Chunks of a body that one write takes along.
const CHUNKS_MAX: usize = 16;

/// One body between the client's task and the endpoint's.
pub struct Pipe {
    /// The number of the message.
    pub msg: MsgId,
    /// The body's length and digest, as its client declared them.
    pub head: StreamHead,
    pub(super) streams: Rc<Streams>,
    pub(super) flow: RefCell<Flow>,
    /// The bytes from the flow's base on.
    window: RefCell<VecDeque<Bytes>>,
    /// A call has begun: the client's body is read.
    pub(super) begun: Cell<bool>,
    /// The final answer, once it is known.
    pub(super) end: Cell<Option<StreamEnd>>,
    /// The client's side may go on.
    pub(super) client_wake: Notify,
    /// The endpoint's side may go on.
    pub(super) endpoint_wake: Notify,
}

impl Pipe {
    /// The body of message `msg`, none of which has come.
    pub fn new(msg: MsgId, head: StreamHead, flow: Flow, streams: Rc<Streams>) -> Rc<Self> {
        Rc::new(Pipe {
            msg,
            head,
            streams,
            flow: RefCell::new(flow),
            window: RefCell::default(),
            begun: Cell::new(false),
            end: Cell::new(None),
            client_wake: Notify::new(),
            endpoint_wake: Notify::new(),
        })
    }

    /// Sets the final answer.
    pub fn finish(&self, end: StreamEnd) {
        self.end.set(Some(end));
        self.client_wake.notify_one();
    }

    /// The body will never be complete.
    pub fn cut(&self, why: Cut, now: Micros) {
        self.change(|flow| flow.cut(why, now));
        self.endpoint_wake.notify_one();
    }

    /// Changes the flow, and drops the bytes that it has released from the window.
    pub(super) fn change<T>(&self, act: impl FnOnce(&mut Flow) -> T) -> T {
        let mut flow = self.flow.borrow_mut();
        let result = act(&mut flow);
        let retained = flow.received() - flow.base();
        let mut window = self.window.borrow_mut();
        let present = window.iter().map(|chunk| chunk.len() as u64).sum::<u64>();
        let mut surplus = present.saturating_sub(retained);
        while let Some(first) = window.front_mut().filter(|_| surplus > 0) {
            let released = (first.len() as u64).min(surplus);
            first.advance(released as usize);
            surplus -= released;
            if first.is_empty() {
                window.pop_front();
            }
        }
        result
    }

    /// Adds bytes that the client has sent.
    pub(super) fn receive(&self, chunk: Bytes, now: Micros) {
        let length = chunk.len() as u64;
        self.window.borrow_mut().push_back(chunk);
        self.change(|flow| flow.receive(length, now));
        self.endpoint_wake.notify_one();
    }

    /// What may be sent now, cut from the window: at most so many bytes, in a few chunks.
    pub(super) fn sendable(&self, limit: u64) -> Vec<Bytes> {
        let flow = self.flow.borrow();
        let mut left = flow.sendable().min(limit);
        let mut skip = flow.sent() - flow.base();
        let mut chunks = Vec::new();
        for chunk in self.window.borrow().iter() {
            if left == 0 || chunks.len() == CHUNKS_MAX {
                break;
            }
            let length = chunk.len() as u64;
            if skip >= length {
                skip -= length;
                continue;
            }
            let taken = (length - skip).min(left);
            chunks.push(chunk.slice(skip as usize..(skip + taken) as usize));
            left -= taken;
            skip = 0;
        }
        chunks
    }
}
