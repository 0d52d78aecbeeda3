//! Small stand-ins for the review's scripts: the platform's store, runners, clients and the
//! processes of the system, on loopback addresses. Only the standard library is used.
#![allow(dead_code)]

pub mod client;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod runner;
pub mod store;

use std::net::TcpListener;

/// Returns the `index`th loopback address of this process. The middle bytes come from the process
/// id, so that concurrent runs don't share addresses.
pub fn loopback_ip(index: u8) -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{}.{}.{}", high.max(1), low, index)
}

/// Returns a free port of an address. The port is released before it is returned.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("no free port");
    listener.local_addr().expect("no local address").port()
}

/// Whether the disruption of the case is to be left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The folder of the case, for its record: the first argument.
pub fn case_dir() -> std::path::PathBuf {
    std::env::args().nth(1).expect("usage: CASE DIR").into()
}
