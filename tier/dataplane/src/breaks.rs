//! Deliberate faults in the code of the data plane, for the proof that the tests detect them; no release build has them.

quillmount_breaks::breaks! {
    for each thread:
    /// A fault that can be switched on.
    pub enum Break {
        /// A list that a process read itself counts as the core's: changes are applied to it.
        OwnListKeepsVersion,
        /// A configuration is put in force whatever its version.
        OlderConfigurationApplied,
        /// An endpoint that drains gets requests as any other.
        DrainingEndpointOpen,
    }
}
