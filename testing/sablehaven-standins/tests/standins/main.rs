//! Tests of the stand-ins.

mod backend;
mod caller;
mod common;
mod host;
mod platform;
