//! Recorded histories of runs and a checker for each promise.
