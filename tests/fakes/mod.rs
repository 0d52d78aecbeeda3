//! Small fakes for the tests of the controllers.

#![allow(dead_code, reason = "each test file uses its own part")]

pub(crate) mod first_fit;
pub(crate) mod make;
pub(crate) mod object;
pub(crate) mod platform;
