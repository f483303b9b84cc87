//! Test doubles: back ends, callers and the platform list.
