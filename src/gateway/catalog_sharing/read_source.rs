//! Where a read gets a list of the platform.

/// Where a read gets the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadSource {
    /// The host that reads for this failure domain; the platform if that is this host or if none
    /// responds.
    Any,
    /// Other hosts only, since this host is not to call the platform yet.
    Peers,
    /// The platform.
    Platform,
}
