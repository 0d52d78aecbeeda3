//! The daemon: builds the parts and connects them.

mod drain;
mod error;
mod host;
mod loops;
mod machine_list;
mod manifest_loop;
mod news;
mod pages;
mod poll;
mod run;
mod status_loop;
mod status_server;

pub use error::DaemonError;
pub use run::run;
