//! Fakes for the tests of the controllers.

#![allow(dead_code, reason = "each test file uses only some of the fakes")]

pub(crate) mod first_fit;
pub(crate) mod make;
pub(crate) mod object;
pub(crate) mod platform;
