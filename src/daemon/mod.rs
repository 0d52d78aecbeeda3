//! The daemon: builds the parts and connects them.

mod error;
mod host;
mod machine_list;
mod manifest_loop;
mod no_peers;
mod own_homes;
mod poll;
mod run;
mod status_server;

pub use error::DaemonError;
pub use run::run;
