//! Deliberate faults in the data plane that tests enable to prove that they detect them. Release builds contain none.

quillmount_breaks::breaks! {
    for each thread:
    /// A fault that a test can enable.
    pub enum Break {
        /// A newer configuration is reported as in force, but requests are routed by the previous one.
        RoutesOutdated,
        /// A draining endpoint still receives new requests.
        DrainingEndpointOpen,
        /// A store gives batch items up by a configuration that may be older than the one under which their job was accepted.
        GivesUpByOldConfiguration,
    }
}
