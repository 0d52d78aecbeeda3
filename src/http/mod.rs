//! A small HTTP/1.1 client over hyper. Its errors say whether a request may have left this host.

mod answer_end;
mod answer_error;
mod answer_head;
mod answer_stream;
mod body;
mod byte_budget;
mod byte_stream;
mod client;
mod connection_headers;
mod error;
pub mod one_shot;
mod sse;

pub use answer_error::AnswerError;
pub use body::ChunksBody;
pub use body::PooledResponseBody;
pub use byte_budget::ByteBudget;
pub use byte_budget::ReservedBytes;
pub use byte_stream::BoxedByteStream;
pub use byte_stream::ByteStream;
pub use client::HttpClient;
pub use connection_headers::remove_connection_headers;
pub use error::HttpError;
pub use sse::SseEvent;
pub use sse::SseParser;
