//! The home of a pool: grants, the ledger, take-over and reconciling with engines.
