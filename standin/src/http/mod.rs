//! HTTP server and client of the fakes and callers, on hyper.

mod client;
mod reply;
mod server;

pub use client::CallError;
pub use client::call;
pub use client::call_json;
pub use reply::Body;
pub use reply::Reply;
pub use reply::empty;
pub use reply::header;
pub use reply::json;
pub use reply::not_run;
pub use reply::read_body;
pub use reply::streamed;
pub use reply::text;
pub use server::Handler;
pub use server::Server;
