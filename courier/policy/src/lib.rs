//! Decisions of a dispatcher that delivers notifications to external receivers.
//!
//! The library does no I/O: it owns no clock, thread or socket. Each sender has one [`Dispatcher`] (or a [`Policy`],
//! which wraps one for hosts that own sockets), passes it batches of [`DispatchEvent`]s with the clock in
//! microseconds, and performs the returned [`DispatchAction`]s in order.
//!
//! ```
//! use quillmount_policy::*;
//!
//! let mut settings = Settings::default();
//! settings.slots = 8;
//! settings.classes.push(MessageClass {
//!     effect: Effect::Idempotent, latency_target: 1_000_000, latency_target_stretch: 0.0, deadline: 8_000_000,
//!     value: 1.0, late_value: 0.0, keep_order: false,
//! });
//! let mut d = Dispatcher::new(settings, 7).unwrap();
//! let entry = EndpointEntry { endpoint: 0, dest: 5, kind: 0, zone: 0, weight: 4.0, state: EndpointState::Ready, returning: false };
//! let msg = Message { id: 1, class: 0, tenant: None, key: None, deadline: 8_000_000, work_hint: None, dest: 5, stream: false, size: 0 };
//! let actions = d.step(0, &[
//!     DispatchEvent::List { kind: ListUpdate::Full, entries: vec![entry] },
//!     DispatchEvent::Submit(msg),
//! ]);
//! assert!(matches!(actions[0], DispatchAction::Send { msg: 1, endpoint: 0, .. }));
//! ```
//!
//! Events that refer to an unknown message, attempt or endpoint are ignored. The same applies to a message whose
//! number is in use or whose class is not in the settings, and to an event that was processed before. If the clock
//! runs backwards, the latest earlier time is used.

pub mod breaks;

mod actions;
mod dispatcher;
mod events;
mod ids;
mod policy;
mod settings;
mod settings_mark;
mod state_visitor;

pub use actions::{CallItem, DispatchAction, Instruction, RouteView};
pub use dispatcher::Dispatcher;
pub use events::{
    Completion, DispatchEvent, EndpointEntry, EndpointState, ListUpdate, Message, Outcome, PastAttempt,
};
pub use ids::{DestId, EndpointId, Micros, MsgId};
pub use policy::Policy;
pub use settings::{
    Decay, DestinationKind, Effect, LimitReportFields, MAX_CALL_BYTES, MessageClass, Settings, SettingsError,
};
pub use state_visitor::StateVisitor;
