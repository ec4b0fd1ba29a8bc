//! Decisions of a dispatcher that delivers notifications to outside receivers.
//!
//! The library is sans-I/O: it owns no clock, thread or socket. Each sender holds one
//! [`Dispatcher`], hands it batches of [`Event`]s with the clock in microseconds and carries out
//! the [`Action`]s that come back, in order.
//!
//! ```
//! use spurshore::*;
//!
//! let mut settings = Settings::default();
//! settings.slots = 8;
//! settings.classes.push(Class {
//!     effect: Effect::Safe, aim: 1_000_000, aim_stretch: 0.0, deadline: 8_000_000,
//!     worth: 1.0, late_worth: 0.0, keep_order: false,
//! });
//! let mut d = Dispatcher::new(settings, 7).unwrap();
//! let entry = Entry { endpoint: 0, dest: 5, kind: 0, zone: 0, weight: 4.0, state: ListState::Ready, cold: false };
//! let msg = Message { id: 1, class: 0, tenant: None, key: None, deadline: 8_000_000, hint: None, dest: 5, stream: false, size: 0 };
//! let actions = d.step(0, &[
//!     Event::List { kind: ListKind::Whole, entries: vec![entry] },
//!     Event::Submit(msg),
//! ]);
//! assert!(matches!(actions[0], Action::Send { msg: 1, endpoint: 0, .. }));
//! ```
//!
//! Events that name an unknown message, attempt or endpoint are ignored; so is a message whose
//! number is in use or whose class or tenant the settings lack, and any event that came before.
//! A clock that runs backwards counts as standing still.

pub mod breaks;
mod facade;
mod interface;
mod rules;
mod seen;

pub use facade::{Facade, Item, Order, Report};
pub use interface::*;
pub use rules::Dispatcher;
pub use seen::Eye;
