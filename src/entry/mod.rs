//! Callers' requests from the first byte to the outcome.
