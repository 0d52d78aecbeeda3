//! The result of an attempt to place a queued request.

/// The result of an attempt to place a request, which says whether the request is still queued: a
/// granted or refused request has left its queue, a blocked one stays.
pub(super) enum PlaceOutcome {
    /// The request was granted and is no longer queued.
    Granted,
    /// The request would end after its deadline. It was refused and is no longer queued.
    Refused,
    /// The request stays in its queue, since no upstream has room for it now.
    Blocked,
}
