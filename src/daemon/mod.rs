//! The daemon: builds the parts and connects them.
