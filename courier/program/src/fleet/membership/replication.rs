//! Passes what is written to the courier's journal on to the member machine, which replicates it.

use super::Fleet;
use crate::transport::gate::JournalWrite;
use quillmount_fleet::member::MemberInput;
use std::rc::Rc;

impl Fleet {
    /// Passes what was written to the journal on to its replicas: all of one turn of the event loop together. Never returns.
    pub(super) async fn replicate(self: Rc<Self>) {
        loop {
            self.gate.write_added.notified().await;
            self.flush();
        }
    }

    /// Passes on what was written by now.
    pub(super) fn flush(&self) {
        let mut appended = Vec::new();
        for write in self.gate.take_writes() {
            match write {
                JournalWrite::Appended(bytes) => appended.extend(bytes),
                JournalWrite::Replaced(journal) => {
                    if !appended.is_empty() {
                        self.step(MemberInput::JournalAppended(std::mem::take(&mut appended)));
                    }
                    self.step(MemberInput::JournalReplaced(journal));
                }
            }
        }
        if !appended.is_empty() {
            self.step(MemberInput::JournalAppended(appended));
        }
    }
}
