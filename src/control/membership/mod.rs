//! Which hosts are there: gossip with suspicion and refutation.
