//! The path of a call that is passed through untouched: from a caller's connection, by routes and
//! customers' keys, to an upstream that is on the platform's list, and its answer back.
//!
//! [`Gateway`] holds what all requests share. [`run()`] starts the tasks around it. The platform
//! stands behind [`Catalog`] and [`Dialect`]; decisions are those of [`crate::decide`].

mod answer_body;
mod beliefs;
mod call;
mod catalog;
mod conf;
mod courier;
mod decision_log;
mod dependency;
mod dialect;
mod drain;
mod engine_orders;
mod engine_reports;
mod error;
mod event;
mod event_splitter;
mod freshness;
mod handler;
mod listeners;
mod lives;
mod load_guard;
mod meters;
mod news;
mod pages;
mod placement;
mod probe;
mod refusal;
mod relay;
mod reservation;
mod run;
mod send;
mod server;
mod share;
mod shared;
mod slowdowns;
mod sync;
mod tracker;

pub use answer_body::AnswerBody;
pub use answer_body::CutOff;
pub use beliefs::Beliefs;
pub use beliefs::UpstreamsByService;
pub use call::Call;
pub use catalog::Catalog;
pub use catalog::CatalogError;
pub use catalog::CatalogRead;
pub use catalog::Listed;
pub use catalog::RoutesRead;
pub use catalog::UpstreamChange;
pub use catalog::UpstreamsRead;
pub use catalog::Watch;
pub use conf::GatewayConf;
pub use decision_log::DecisionLog;
pub use dialect::AnswerHead;
pub use dialect::BadHead;
pub use dialect::CallHead;
pub use dialect::Dialect;
pub use dialect::HelperAddr;
pub use dialect::SendHead;
pub use drain::DrainPhase;
pub use engine_orders::EngineOrders;
pub use engine_orders::EngineReport;
pub use engine_orders::OrderError;
pub use error::GatewayError;
pub use event::Event;
pub use event_splitter::EventSplitter;
pub use freshness::Freshness;
pub use listeners::Listeners;
pub use meters::Meters;
pub use refusal::Refusal;
pub use run::Reload;
pub use run::run;
pub use run::serve;
pub use shared::Gateway;
