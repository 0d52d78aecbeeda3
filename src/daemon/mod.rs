//! The daemon: builds the components of a host, connects them and runs them.

mod drain;
mod error;
mod host;
mod loops;
mod machine_list;
mod manifest_loop;
mod membership_handler;
mod pages;
mod poll;
mod run;
mod status_loop;
mod status_server;

pub use error::DaemonError;
pub use run::run;
pub(crate) use status_server::Page;
pub(crate) use status_server::PageSource;
pub(crate) use status_server::serve as serve_pages;
