//! Routes by host name and path, the services behind them, and customers by API key. All of this
//! comes from the manifest and is replaced as a whole by the next manifest.

mod allowed_regions;
mod call_kind;
mod keys;
mod limits;
mod route;
mod service;
mod table;

pub use allowed_regions::AllowedRegions;
pub use call_kind::CallKind;
pub use keys::CustomerKeys;
pub use limits::CallerLimits;
pub use route::Route;
pub use route::RouteTarget;
pub use route::stream_caller_timeout;
pub use service::ColdStart;
pub use service::Service;
pub use table::RouteTable;
