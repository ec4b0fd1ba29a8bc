//! The module's decisions as they were before its tables were indexed: what the rework is held against, and nothing
//! else. It goes once the rework is done.

mod breaks {
    pub use spurshore::breaks::*;
}
mod interface {
    pub use spurshore::*;
}
mod rules;

pub use rules::Dispatcher;
