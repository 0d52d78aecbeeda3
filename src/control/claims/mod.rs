//! Claims of requests that are not repeatable: each runs at most once.
