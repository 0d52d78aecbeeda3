//! How a manifest gets in force on every host.
