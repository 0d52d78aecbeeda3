//! Which host is the home of which pool.
