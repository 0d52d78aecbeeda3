//! Reports of this host, bounded in size and rate.
