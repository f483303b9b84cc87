//! The signals to processes that this program started.

use std::ffi::c_int;

pub const SIGKILL: c_int = 9;
pub const SIGTERM: c_int = 15;

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: c_int) {
    unsafe { kill(pid as c_int, signal) };
}
