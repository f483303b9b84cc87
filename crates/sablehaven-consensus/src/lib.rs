//! A replicated log as a pure state machine: messages and ticks in, messages and durable writes out.
