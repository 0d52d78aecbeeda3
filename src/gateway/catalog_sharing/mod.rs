//! One host of a failure domain reads the platform for the others.
//!
//! Load it answers: each call to the platform costs, its rates grow more slowly than the fleet, and
//! what 60 hosts read is the same. So the first host of a domain by name reads, and the others ask
//! it. A host that gets no fresh answer reads for itself, so a reader that has died, stands still or
//! is cut off costs one failed question.

mod catalog_cache;
mod client;
mod cursor;
mod message;
mod reader;
mod reader_selector;
mod server;
mod upstream_list;

pub(crate) use catalog_cache::CatalogCache;
pub(crate) use catalog_cache::is_fresh;
pub(crate) use cursor::WATCH_WAIT;
pub(crate) use reader::ReadError;
pub(crate) use reader::Reader;
pub(crate) use reader::Source;
pub(crate) use reader_selector::ReaderSelector;
pub(crate) use server::serve_reads;
