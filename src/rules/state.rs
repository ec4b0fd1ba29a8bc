//! The dispatcher's state from one process to the next: all but its settings, which every process reads itself.

use super::*;

impl Dispatcher {
    /// Goes on from another process's state, under settings that say the same as that one's.
    ///
    /// # Errors
    /// No instance can run under them.
    pub(crate) fn resume(mut self, set: Settings) -> Result<Self, SettingsError> {
        set.check()?;
        self.set = Arc::new(set);
        Ok(self)
    }
}
