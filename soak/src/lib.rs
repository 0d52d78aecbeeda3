//! A randomized soak test. It runs real daemons as separate processes on loopback, with stand-ins
//! for the platform's store, the upstreams and the callers, and injects faults from outside the
//! daemons. From what callers and upstreams observe it checks the guarantees of the system. The
//! faults of a run are determined by its seed.

pub mod call;
mod caller;
pub mod checks;
pub mod crash_point;
pub mod crashing_request;
pub mod crowd;
mod crowd_client;
pub mod crowd_kind;
mod deployment;
mod event_stream;
mod fault;
mod fault_draws;
pub mod faults;
pub mod flood;
mod flood_checks;
mod guarantee_set;
pub mod history;
mod host_process;
mod limit_checks;
pub mod link_proxy;
mod notice_checks;
mod part_checks;
mod path_checks;
mod prompt_parts;
mod recovery_checks;
mod retry_checks;
mod run;
mod silence_checks;
mod silence_gate;
mod silent_share;
pub mod store;
pub mod upstream;
mod upstream_body;
mod upstream_mode;
mod upstream_shared;
mod upstream_slots;

pub use deployment::DeploymentSize;
pub use fault::Fault;
pub use fault_draws::draw_faults;
pub use run::SoakConf;
pub use run::SoakReport;
pub use run::run;
