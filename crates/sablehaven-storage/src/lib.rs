//! Durable log segments, snapshots and disk identity under one data folder.
