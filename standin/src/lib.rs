//! Fakes of the systems around banyanarch (platform, model engines, plain services), and the load
//! and demo tools that run them.
//!
//! Tests run the fakes in their own process: [`platform::PlatformFake::start`],
//! [`engine::Engine::start`] and [`service::Service::start`] each return a handle that gives the
//! address of the fake, what it has recorded, and control of its faults.

pub mod answer;
pub mod caller;
pub mod cmd;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod load;
pub mod machine;
pub mod platform;
pub mod service;
