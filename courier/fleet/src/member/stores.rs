//! Where a member keeps what outlasts its process.

use super::*;

/// Where a courier keeps what outlasts its process, by name; names are of letters, digits, `-`, `_` and `.`.
pub trait StoreDirectory {
    type Store: Store;

    /// # Errors
    /// It can't be opened or made.
    fn open(&mut self, name: &str) -> io::Result<Self::Store>;

    /// # Errors
    /// It is there and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// All that are there.
    ///
    /// # Errors
    /// The place can't be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
}
