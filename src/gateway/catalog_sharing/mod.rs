//! Sharing of the platform's lists between hosts: one host of a failure domain reads the platform
//! for the others.
//!
//! The platform limits the rate of its calls, and all hosts of a domain need the same lists. So one
//! host of a domain reads the platform and the others request its lists. A host that gets no fresh
//! response reads the platform itself, so a reader that has died, hangs or is partitioned costs one
//! failed request.

mod cached_lists;
mod catalog_cache;
mod client;
mod confirmed;
mod cursor;
mod list_age;
mod message;
mod peer_result;
mod read_error;
mod read_outcome;
mod read_source;
mod reader;
mod reader_selector;
mod server;
mod upstream_list;

pub(crate) use catalog_cache::CatalogCache;
pub(crate) use client::is_responding;
pub(crate) use cursor::WATCH_WAIT;
pub(crate) use list_age::is_fresh;
pub(crate) use message::ListKind;
pub(crate) use message::MESSAGE_SIZE_MAX;
pub(crate) use message::PeerConnection;
pub(crate) use message::ReadRequest;
pub(crate) use message::ReadResponse;
pub(crate) use read_error::ReadError;
pub(crate) use read_outcome::ReadOutcome;
pub(crate) use read_source::ReadSource;
pub(crate) use reader::CatalogReader;
pub(crate) use reader_selector::ReaderSelector;
pub(crate) use server::serve_reads;
